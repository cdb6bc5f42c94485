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

// longPollWait is how long the platform waits for a change before it responds to a watch
// without one. It also bounds how late a change is noticed if the connection of a watch
// no longer delivers anything.
const longPollWait = 5 * time.Second

// errChangesGone reports that the platform no longer keeps the changes after a version, so that
// the objects have to be listed again.
var errChangesGone = eris.New("platform: changes are no longer kept, list again")

// Watch calls handle for each batch of changes after a version, beginning with a
// snapshot if the version is 0 or too old. It retries through outages and
// returns when the context ends, handle fails or the platform rejects the call.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, handle func(Batch) error) error {
	retry := backoff{}
	list := after == 0
	for {
		b, err := c.next(ctx, prefix, after, list)
		if err == nil {
			retry = backoff{}
			after, list = b.Version, false
			if len(b.Objects) == 0 && !b.Snapshot {
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
		case errors.Is(err, errChangesGone):
			list = true
		case !errors.As(err, &unavailable):
			return fmt.Errorf("platform: watch %q: %w", prefix, err)
		}
		if err := retry.next(ctx); err != nil {
			return fmt.Errorf("platform: watch %q: %w", prefix, err)
		}
	}
}

// next returns the changes after a version, or a snapshot if list is true.
func (c *Client) next(ctx context.Context, prefix string, after int64, list bool) (Batch, error) {
	if list {
		objects, version, err := c.List(ctx, prefix)
		return Batch{Objects: objects, Version: version, Snapshot: true}, err
	}
	changed, err := c.changes(ctx, prefix, after, longPollWait)
	return Batch{Objects: changed.decode(), Version: changed.Version}, err
}

// changes returns changes after a version. If there are none, it waits for the first.
func (c *Client) changes(ctx context.Context, prefix string, after int64, wait time.Duration) (objectsJSON, error) {
	path := "/watch?prefix=" + url.QueryEscape(prefix) +
		"&after=" + strconv.FormatInt(after, 10) + "&wait=" + wait.String()
	r, err := c.call(ctx, wait+callTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return objectsJSON{}, err
	}
	if r.status == http.StatusGone {
		return objectsJSON{}, errChangesGone
	}
	return r.objects()
}
