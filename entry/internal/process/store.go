package process

import (
	"context"

	"github.com/apex/log"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// store reads and writes the objects of pairs on the platform.
type store struct {
	platform Platform
	logger   log.Interface
}

// LoadTable implements pair.Store.
func (s *store) LoadTable(ctx context.Context, p control.Pair) (*control.Table, int64, bool) {
	o, found, err := s.platform.Load(ctx, control.TablePrefix+p.String())
	if err != nil {
		s.logger.WithError(err).Debug("table not loaded")
		return nil, 0, false
	}
	if !found || o.Deleted {
		return nil, o.Version, true
	}
	t, err := control.DecodeTable(o.Value)
	if err != nil {
		s.logger.WithError(err).Error("stored table is invalid")
		return nil, 0, false
	}
	return &t, o.Version, true
}

// StoreTable implements pair.Store.
func (s *store) StoreTable(ctx context.Context, t *control.Table, expected int64) (int64, controller.Result) {
	value, err := control.EncodeTable(*t)
	if err != nil {
		s.logger.WithError(err).Error("table can't be encoded")
		return 0, controller.Conflict
	}
	return s.platform.Store(ctx, control.TablePrefix+t.Pair.String(), value, expected)
}

// LoadSuccession implements pair.Store.
func (s *store) LoadSuccession(ctx context.Context, p control.Pair) (control.Succession, bool, bool) {
	o, found, err := s.platform.Load(ctx, control.SuccessionPrefix+p.String())
	if err != nil {
		s.logger.WithError(err).Debug("succession not loaded")
		return control.Succession{}, false, false
	}
	if !found || o.Deleted {
		return control.Succession{}, false, true
	}
	record, err := control.DecodeSuccession(o.Value, o.Version)
	if err != nil {
		s.logger.WithError(err).Error("stored succession is invalid")
		return control.Succession{}, false, false
	}
	return record, true, true
}

// StoreSuccession implements pair.Store.
func (s *store) StoreSuccession(ctx context.Context, r *control.Succession, expected int64) (int64, controller.Result) {
	value, err := control.EncodeSuccession(*r)
	if err != nil {
		s.logger.WithError(err).Error("succession can't be encoded")
		return 0, controller.Conflict
	}
	return s.platform.Store(ctx, control.SuccessionPrefix+r.Pair.String(), value, expected)
}
