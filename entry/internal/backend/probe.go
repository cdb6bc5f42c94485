package backend

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Probe sends a request to /probe on a new connection, one probe at a time. If the server
// answers, connections on which it has sent nothing since before the probe are closed.
func (c *Client) Probe(ctx context.Context) error {
	start := time.Now()
	candidates := c.stalledConns(start)
	r, err := c.exchange(ctx, c.probePool, "/probe", &Request{Method: http.MethodGet})
	if err != nil {
		return fmt.Errorf("backend: probe: %w", err)
	}
	defer r.Body.Close()
	if _, err := readOrderResponse(r.Body); err != nil {
		return fmt.Errorf("backend: probe: %w", err)
	}
	if r.Status != http.StatusOK {
		return fmt.Errorf("backend: probe: status %d, want 200", r.Status)
	}
	if len(candidates) > 0 {
		time.AfterFunc(silenceGrace, func() { c.closeSilent(candidates, start) })
	}
	return nil
}
