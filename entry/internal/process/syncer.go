package process

import (
	"context"
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
	"bramleystand.org/entry/internal/peer"
)

// syncer exchanges the directory with other members.
type syncer struct {
	directory *directory.Directory
	peers     *peer.Client
	logger    log.Interface
}

// run exchanges with members of the own or of other data centres until the context ends.
func (s *syncer) run(ctx context.Context, own bool, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if partner, ok := s.directory.Partner(own); ok {
			s.exchange(ctx, partner)
		}
	}
}

func (s *syncer) exchange(ctx context.Context, partner control.Member) {
	message := s.directory.Digest(time.Now())
	for range directory.Rounds {
		answer, err := s.peers.Sync(ctx, partner.Address, message)
		if err != nil {
			s.logger.WithError(err).WithField("member", partner.Name).Debug("exchange failed")
			s.directory.Missed(time.Now(), partner)
			return
		}
		next, more := s.directory.Merge(time.Now(), answer)
		if !more {
			break
		}
		message = next
	}
	s.directory.Reached(time.Now(), partner)
}
