package process

import (
	"context"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// pairStore implements pair.Store. It reads and writes the routing tables and succession
// records of pairs on the platform.
type pairStore struct {
	platform Platform
	logger   log.Interface
}

// LoadTable implements pair.Store.
func (s *pairStore) LoadTable(ctx context.Context, p control.Pair) (*control.Table, int64, bool) {
	o, found, err := s.platform.Load(ctx, control.TablePrefix+p.String())
	if err != nil {
		s.logger.WithError(err).Debug("loading the routing table failed")
		return nil, 0, false
	}
	if !found || o.Deleted {
		return nil, o.Version, true
	}
	t, err := control.DecodeTable(o.Value)
	if err != nil {
		s.logger.WithError(err).Error("stored routing table is invalid")
		return nil, 0, false
	}
	return &t, o.Version, true
}

// StoreTable implements pair.Store.
func (s *pairStore) StoreTable(ctx context.Context, t *control.Table, expected int64) (int64, controller.WriteResult) {
	value, err := control.EncodeTable(*t)
	if err != nil {
		s.logger.WithError(err).Error("encoding the routing table failed")
		return 0, controller.WriteConflict
	}
	return s.platform.Store(ctx, control.TablePrefix+t.Pair.String(), value, expected)
}

// LoadSuccession implements pair.Store.
func (s *pairStore) LoadSuccession(ctx context.Context, p control.Pair) (control.Succession, bool, bool) {
	o, found, err := s.platform.Load(ctx, control.SuccessionPrefix+p.String())
	if err != nil {
		s.logger.WithError(err).Debug("loading the succession record failed")
		return control.Succession{}, false, false
	}
	if !found || o.Deleted {
		return control.Succession{}, false, true
	}
	record, err := control.DecodeSuccession(o.Value, o.Version)
	if err != nil {
		s.logger.WithError(err).Error("stored succession record is invalid")
		return control.Succession{}, false, false
	}
	return record, true, true
}

// StoreSuccession implements pair.Store.
func (s *pairStore) StoreSuccession(ctx context.Context, r *control.Succession, expected int64) (int64, controller.WriteResult) {
	value, err := control.EncodeSuccession(*r)
	if err != nil {
		s.logger.WithError(err).Error("encoding the succession record failed")
		return 0, controller.WriteConflict
	}
	return s.platform.Store(ctx, control.SuccessionPrefix+r.Pair.String(), value, expected)
}
