package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"
)

// largestRefusal bounds what is read of a refused grant's answer.
const largestRefusal = 4 << 10

// grantJSON is the body of a grant.
type grantJSON struct {
	Incarnation int64         `json:"incarnation"`
	Fence       fence.Fence   `json:"fence"`
	Revision    uint32        `json:"revision"`
	Shards      []shard.Shard `json:"shards"`
	Until       int64         `json:"until"`
}

// refusalJSON is the answer to a grant that was not accepted.
type refusalJSON struct {
	Refused string `json:"refused"`
}

// Grant lets the server run requests with this fence for these shards until the
// deadline. It returns until when the server may hold any grant of this client,
// which is also valid, and may have grown, if there is an error.
func (c *Client) Grant(ctx context.Context, f fence.Fence, revision uint32, shards []shard.Shard, deadline time.Time) (time.Time, error) {
	n := grantJSON{Fence: f, Revision: revision, Shards: shards}
	for {
		k, err := c.read(ctx)
		if err != nil {
			return c.held.extend(time.Time{}), err
		}
		n.Incarnation, n.Until = k.incarnation, int64(k.at(deadline))
		err = c.grant(ctx, n, deadline)
		if err == nil || OutcomeOf(err) != outcome.NotRun {
			return c.held.extend(deadline), err
		}
		// The server was restarted if its refusal names another incarnation.
		if now, ok := c.clock.current(time.Now()); !ok || now.incarnation == n.Incarnation || ctx.Err() != nil {
			return c.held.extend(time.Time{}), err
		}
	}
}

// read returns a recent reading of the server's clock, by a probe if there is none.
func (c *Client) read(ctx context.Context) (reading, error) {
	if k, ok := c.clock.current(time.Now()); ok {
		return k, nil
	}
	if err := c.Probe(ctx); err != nil {
		return reading{}, notRun(fmt.Errorf("backend: read clock: %w", err))
	}
	k, ok := c.clock.current(time.Now())
	if !ok {
		return reading{}, notRun(fmt.Errorf("backend: read clock: no %s in the answer", headerClock))
	}
	return k, nil
}

// grant sends one grant.
func (c *Client) grant(ctx context.Context, n grantJSON, deadline time.Time) error {
	body, err := json.Marshal(n)
	if err != nil {
		return notRun(fmt.Errorf("backend: grant: %w", err))
	}
	c.silence.arm(silentAfter)
	r, err := c.exchange(ctx, c.grants, "/grant", &Request{
		Method:      http.MethodPut,
		Body:        bytes.NewReader(body),
		Length:      int64(len(body)),
		StartBefore: deadline,
	})
	if err != nil {
		return fmt.Errorf("backend: grant: %w", err)
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if r.Outcome == outcome.NotRun {
		var refusal refusalJSON
		_ = json.Unmarshal(text, &refusal)
		return notRun(fmt.Errorf("%w: grant: status %d: %s", ErrRefused, r.Status, refusal.Refused))
	}
	if err != nil {
		return fmt.Errorf("backend: grant: %w", err)
	}
	if r.Status != http.StatusOK {
		return unknown(fmt.Errorf("backend: grant: status %d", r.Status))
	}
	return nil
}
