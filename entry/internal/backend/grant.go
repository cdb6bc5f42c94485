package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"
)

// maxOrderResponse is the maximum size of the body of a response to a grant or a probe.
const maxOrderResponse = 4 << 10

var errOrderResponseTooLarge = eris.New("backend: response body is larger than 4 KiB")

// grantRequest is the body of a grant request. Until is nanoseconds of the server's clock.
type grantRequest struct {
	Incarnation int64         `json:"incarnation"`
	Fence       fence.Fence   `json:"fence"`
	Revision    uint32        `json:"revision"`
	Shards      []shard.Shard `json:"shards"`
	Until       int64         `json:"until"`
}

// grantRefusal is the response to a grant that the server refused.
type grantRefusal struct {
	Refused string `json:"refused"`
}

// Grant allows the server to run requests with this fence for these shards until the
// deadline. It returns the latest time until which the server may hold any grant of this
// client. That time is valid, and may have become later, even if there is an error.
func (c *Client) Grant(ctx context.Context, f fence.Fence, revision uint32, shards []shard.Shard, deadline time.Time) (time.Time, error) {
	request := grantRequest{Fence: f, Revision: revision, Shards: shards}
	for {
		reading, err := c.readClock(ctx)
		if err != nil {
			return c.grantExpiry.extend(time.Time{}), err
		}
		request.Incarnation, request.Until = reading.incarnation, int64(reading.serverTime(deadline))
		err = c.sendGrant(ctx, request, deadline)
		if err == nil || OutcomeOf(err) != outcome.NotRun {
			return c.grantExpiry.extend(deadline), err
		}
		// If the refusal comes from another incarnation, the server was restarted and the
		// grant is sent again with a reading of the new clock.
		if latest, ok := c.serverClock.bestReading(time.Now()); !ok || latest.incarnation == request.Incarnation || ctx.Err() != nil {
			return c.grantExpiry.extend(time.Time{}), err
		}
	}
}

// readClock returns a recent reading of the server's clock. It probes the server if there is none.
func (c *Client) readClock(ctx context.Context) (clockReading, error) {
	if reading, ok := c.serverClock.bestReading(time.Now()); ok {
		return reading, nil
	}
	if err := c.Probe(ctx); err != nil {
		return clockReading{}, notRunError(fmt.Errorf("backend: read clock: %w", err))
	}
	reading, ok := c.serverClock.bestReading(time.Now())
	if !ok {
		return clockReading{}, notRunError(fmt.Errorf("backend: read clock: no %s header in the response", headerClock))
	}
	return reading, nil
}

// sendGrant sends one grant request.
func (c *Client) sendGrant(ctx context.Context, request grantRequest, deadline time.Time) error {
	body, err := json.Marshal(request)
	if err != nil {
		return notRunError(fmt.Errorf("backend: grant: %w", err))
	}
	c.silenceWatch.schedule(silenceThreshold)
	r, err := c.exchange(ctx, c.grantPool, "/grant", &Request{
		Method:      http.MethodPut,
		Body:        bytes.NewReader(body),
		BodyLength:  int64(len(body)),
		StartBefore: deadline,
	})
	if err != nil {
		return fmt.Errorf("backend: grant: %w", err)
	}
	defer r.Body.Close()
	text, err := readOrderResponse(r.Body)
	if r.Outcome == outcome.NotRun {
		var refusal grantRefusal
		_ = json.Unmarshal(text, &refusal)
		return notRunError(fmt.Errorf("%w: grant: status %d: %s", ErrRefused, r.Status, refusal.Refused))
	}
	if err != nil {
		return fmt.Errorf("backend: grant: %w", err)
	}
	if r.Status != http.StatusOK {
		return unknownError(fmt.Errorf("backend: grant: status %d, want 200", r.Status))
	}
	return nil
}

// readOrderResponse reads the body of a response to a grant or a probe.
func readOrderResponse(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxOrderResponse+1))
	if err == nil && len(text) > maxOrderResponse {
		return nil, unknownError(errOrderResponseTooLarge)
	}
	return text, err
}
