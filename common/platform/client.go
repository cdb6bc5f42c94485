// Package platform is a client for the platform's object API and its list of VMs.
//
// Updates are conditional. If the response to one is lost, the client reads the object
// and compares author and change identifier, so that it reports whether the update was
// applied, was rejected because another was first, or has an unknown result. Values are
// raw bytes.
//
// # Usage
//
//	c := platform.New(address, &http.Client{})
//	object, err := c.Get(ctx, "services/seat-desk")
//	version, err := c.Put(ctx, platform.Update{
//		Name: object.Name, Value: value, IfVersion: object.Version, Author: "ada", Change: change,
//	})
//	var conflict *platform.ConflictError
//	if errors.As(err, &conflict) {
//		// The update of conflict.Author was applied first.
//	}
//	err = c.Watch(ctx, "services/", 0, func(b platform.Batch) error { return store(b) })
package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

const (
	// callTimeout bounds one call; a healthy platform responds in milliseconds.
	callTimeout = 2 * time.Second
	// updateTimeout bounds an update with its retries if the context has no deadline.
	updateTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of a response. It has room for 64 values of 1 MB in base64.
	maxResponseBytes = 128 << 20
)

// Client calls the platform.
type Client struct {
	base string
	http *http.Client
}

// New returns a client for the platform at an address.
func New(address netip.AddrPort, h *http.Client) *Client {
	return &Client{base: "http://" + address.String(), http: h}
}

// Get returns an object; the error is a *NotFoundError if it does not exist.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	r, err := c.call(ctx, callTimeout, http.MethodGet, objectPath(name), nil, nil)
	if err != nil {
		return Object{}, fmt.Errorf("platform: get %q: %w", name, err)
	}
	if r.status == http.StatusNotFound {
		p := r.problem()
		return Object{}, &NotFoundError{Name: name, Version: p.Version, Author: p.Author, change: p.Change}
	}
	if r.status != http.StatusOK {
		return Object{}, fmt.Errorf("platform: get %q: %w", name, r.rejection())
	}
	version, err := strconv.ParseInt(r.header.Get("Version"), 10, 64)
	if err != nil {
		return Object{}, &UnavailableError{Err: fmt.Errorf("platform: get %q: parse header field Version: %w", name, err)}
	}
	return Object{
		Name:    name,
		Version: version,
		Author:  r.header.Get("Author"),
		Change:  r.header.Get("Change"),
		Value:   r.body,
	}, nil
}

// List returns all objects and tombstones whose names have a prefix, and the version of this list.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	r, err := c.call(ctx, callTimeout, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: list %q: %w", prefix, err)
	}
	list, err := r.objects()
	if err != nil {
		return nil, 0, fmt.Errorf("platform: list %q: %w", prefix, err)
	}
	return list.decode(), list.Version, nil
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) (VMs, error) {
	r, err := c.call(ctx, callTimeout, http.MethodGet, "/vms", nil, nil)
	if err != nil {
		return VMs{}, fmt.Errorf("platform: list VMs: %w", err)
	}
	n, err := r.vms()
	if err != nil {
		return VMs{}, fmt.Errorf("platform: list VMs: %w", err)
	}
	return n, nil
}

// objectPath returns the URL path of an object; slashes in its name are escaped.
func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// call sends one request and reads the whole response. A truncated response is an error.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, header http.Header, body io.Reader) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return response{}, fmt.Errorf("platform: create request: %w", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, &UnavailableError{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, &UnavailableError{Err: fmt.Errorf("platform: read response: %w", err)}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return response{}, &UnavailableError{Err: fmt.Errorf("platform: status %d", resp.StatusCode)}
	}
	return response{status: resp.StatusCode, header: resp.Header, body: data}, nil
}
