// Package platform is the client of the platform's object API and list of VMs.
//
// Updates are conditional. If the answer to one is lost, the client reads back and
// compares author and change identifier, so that an update is reported as what it
// was: in force, lost against another, or not known. Values are raw bytes.
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
//		// conflict.Author was faster.
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
	// callTimeout bounds one call; the platform answers in milliseconds when it is well.
	callTimeout = 2 * time.Second
	// updateTimeout bounds an update with its repetitions if the context has no deadline.
	updateTimeout = 10 * time.Second
	// largestAnswer bounds what is read of an answer: 64 values of 1 MB in base64.
	largestAnswer = 128 << 20
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

// Get returns an object, or a *NotFoundError.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	a, err := c.call(ctx, callTimeout, http.MethodGet, pathOf(name), nil, nil)
	if err != nil {
		return Object{}, fmt.Errorf("platform: get %q: %w", name, err)
	}
	if a.status == http.StatusNotFound {
		p := a.problem()
		return Object{}, &NotFoundError{Name: name, Version: p.Version, Author: p.Author, change: p.Change}
	}
	if a.status != http.StatusOK {
		return Object{}, fmt.Errorf("platform: get %q: %w", name, a.failure())
	}
	version, err := strconv.ParseInt(a.header.Get("Version"), 10, 64)
	if err != nil {
		return Object{}, &UnavailableError{Err: fmt.Errorf("platform: get %q: version: %w", name, err)}
	}
	return Object{
		Name:    name,
		Version: version,
		Author:  a.header.Get("Author"),
		Change:  a.header.Get("Change"),
		Value:   a.body,
	}, nil
}

// List returns all objects and tombstones with a prefix, and the version of this view.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, int64, error) {
	a, err := c.call(ctx, callTimeout, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("platform: list %q: %w", prefix, err)
	}
	n, err := a.objects()
	if err != nil {
		return nil, 0, fmt.Errorf("platform: list %q: %w", prefix, err)
	}
	return n.decode(), n.Version, nil
}

// VMs returns the list of VMs.
func (c *Client) VMs(ctx context.Context) (VMs, error) {
	a, err := c.call(ctx, callTimeout, http.MethodGet, "/vms", nil, nil)
	if err != nil {
		return VMs{}, fmt.Errorf("platform: vms: %w", err)
	}
	n, err := a.vms()
	if err != nil {
		return VMs{}, fmt.Errorf("platform: vms: %w", err)
	}
	return n, nil
}

// pathOf returns the path of an object; slashes in its name are escaped.
func pathOf(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// call sends one request and reads the whole answer. An answer that is cut short is an error.
func (c *Client) call(ctx context.Context, limit time.Duration, method, path string, header http.Header, body io.Reader) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return answer{}, fmt.Errorf("platform: request: %w", err)
	}
	for name, values := range header {
		r.Header[name] = values
	}
	w, err := c.http.Do(r)
	if err != nil {
		return answer{}, &UnavailableError{Err: err}
	}
	defer w.Body.Close()
	text, err := io.ReadAll(io.LimitReader(w.Body, largestAnswer))
	if err != nil {
		return answer{}, &UnavailableError{Err: fmt.Errorf("platform: read answer: %w", err)}
	}
	if w.StatusCode >= http.StatusInternalServerError {
		return answer{}, &UnavailableError{Err: fmt.Errorf("platform: status %d", w.StatusCode)}
	}
	return answer{status: w.StatusCode, header: w.Header, body: text}, nil
}
