package process

import (
	"context"
	"time"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/directory"
	"bramleystand.org/entry/internal/peer"
)

// directorySyncer synchronises the directory with other members.
type directorySyncer struct {
	directory *directory.Directory
	peers     *peer.Client
	logger    log.Interface
}

// run synchronises with one member per interval until the context ends: with members of
// the process's own data centre if sameCentre is set, otherwise with those of others.
func (s *directorySyncer) run(ctx context.Context, sameCentre bool, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if partner, ok := s.directory.PickPartner(sameCentre); ok {
			s.exchange(ctx, partner)
		}
	}
}

// exchange runs one exchange of at most directory.MaxExchangeRounds messages with a member and
// records in the directory whether the member answered.
func (s *directorySyncer) exchange(ctx context.Context, partner control.Member) {
	message := s.directory.Digest(time.Now())
	for range directory.MaxExchangeRounds {
		response, err := s.peers.Sync(ctx, partner.Address, message)
		if err != nil {
			s.logger.WithError(err).WithField("member", partner.Name).Debug("directory exchange failed")
			s.directory.ExchangeFailed(time.Now(), partner)
			return
		}
		next, more := s.directory.Merge(time.Now(), response)
		if !more {
			break
		}
		message = next
	}
	s.directory.ExchangeSucceeded(time.Now(), partner)
}
