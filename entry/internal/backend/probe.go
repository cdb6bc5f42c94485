package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Probe asks the server for an answer on a new connection, one probe at a time. When it answers,
// connections that have been silent since before the probe are closed.
func (c *Client) Probe(ctx context.Context) error {
	began := time.Now()
	suspects := c.quiet(began)
	r, err := c.exchange(ctx, c.probes, "/probe", &Request{Method: http.MethodGet})
	if err != nil {
		return fmt.Errorf("backend: probe: %w", err)
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return fmt.Errorf("backend: probe: %w", err)
	}
	if r.Status != http.StatusOK {
		return fmt.Errorf("backend: probe: status %d", r.Status)
	}
	if len(suspects) > 0 {
		time.AfterFunc(silentGrace, func() { c.closeSilent(suspects, began) })
	}
	return nil
}
