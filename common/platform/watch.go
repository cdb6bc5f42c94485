package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// watchWait is how long the platform holds a watch without a change. It also bounds
// how late a change is noticed if the connection of a watch has gone silent.
const watchWait = 5 * time.Second

// errListAgain tells that the platform no longer knows the changes after a version.
var errListAgain = eris.New("platform: list again")

// Watch calls handle for each batch of changes after a version, beginning with a
// complete batch if the version is 0 or too old. It goes on through outages and
// returns when the context ends, handle fails or the platform rejects the call.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(Batch) error) error {
	wait := backoff{}
	list := after == 0
	for {
		b, err := c.next(ctx, prefix, after, list)
		if err == nil {
			wait = backoff{}
			after, list = b.Version, false
			if len(b.Objects) == 0 && !b.Complete {
				continue
			}
			if err := handle(b); err != nil {
				return fmt.Errorf("platform: watch %q: handle: %w", prefix, err)
			}
			continue
		}
		var unavailable *UnavailableError
		switch {
		case ctx.Err() != nil:
			return fmt.Errorf("platform: watch %q: %w", prefix, ctx.Err())
		case errors.Is(err, errListAgain):
			list = true
		case !errors.As(err, &unavailable):
			return fmt.Errorf("platform: watch %q: %w", prefix, err)
		}
		if err := wait.next(ctx); err != nil {
			return fmt.Errorf("platform: watch %q: %w", prefix, err)
		}
	}
}

// next returns the changes after a version, or a complete batch if it is to list.
func (c *Client) next(ctx context.Context, prefix string, after int64, list bool) (Batch, error) {
	if list {
		objects, version, err := c.List(ctx, prefix)
		return Batch{Objects: objects, Version: version, Complete: true}, err
	}
	n, err := c.changes(ctx, prefix, after, watchWait)
	return Batch{Objects: n.decode(), Version: n.Version}, err
}

// changes returns changes after a version, waiting for the first if there is none.
func (c *Client) changes(ctx context.Context, prefix string, after int64, wait time.Duration) (objectsJSON, error) {
	path := "/watch?prefix=" + url.QueryEscape(prefix) +
		"&after=" + strconv.FormatInt(after, 10) + "&wait=" + wait.String()
	a, err := c.call(ctx, wait+callTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return objectsJSON{}, err
	}
	if a.status == http.StatusGone {
		return objectsJSON{}, errListAgain
	}
	return a.objects()
}
