package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"bramleystand.org/replay/internal/process"
)

const (
	// readyTimeout bounds the time from the start of the processes until all of them answer.
	readyTimeout = 20 * time.Second
	// pollInterval is the time between two requests while waiting for a process.
	pollInterval = 20 * time.Millisecond
)

// Ready waits until every backend server answers and the health check of every entry VM,
// which the load balancer uses, succeeds.
func (f *Fleet) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, s := range f.Servers {
		if err := f.awaitOK(ctx, s.Process, "http://"+s.AdminAddress.String()+"/executions"); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
	}
	for _, e := range f.Entries {
		if err := f.awaitOK(ctx, e.Process, "http://"+e.CallerAddress.String()+"/healthz"); err != nil {
			return fmt.Errorf("fleet: %w", err)
		}
	}
	return nil
}

// awaitOK polls a URL until it answers with status 200, the process ends, or ctx ends.
func (f *Fleet) awaitOK(ctx context.Context, p *process.Process, url string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := f.poll(ctx, url)
		if err == nil {
			return nil
		}
		select {
		case <-p.Done():
			return fmt.Errorf("%s ended before it was ready: %w", p.Name, p.Wait(ctx))
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", p.Name, err)
		case <-ticker.C:
		}
	}
}

// poll requests a URL once and returns an error unless the status is 200.
func (f *Fleet) poll(ctx context.Context, url string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := f.client.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	return nil
}
