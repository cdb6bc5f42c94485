package pair

import (
	"context"
	"time"

	"bramleystand.org/entry/internal/control"
	"bramleystand.org/entry/internal/controller"
)

// storeTimeout bounds a call to the platform. The controller goes on without waiting for the call.
const storeTimeout = 2 * time.Second

// executeEffects starts the messages and platform calls that the controller has requested since the last call.
func (p *Pair) executeEffects(ctx context.Context) {
	p.controllerMu.Lock()
	effects := p.controller.TakeEffects()
	p.controllerMu.Unlock()
	for _, e := range effects {
		go p.executeEffect(ctx, e)
	}
}

func (p *Pair) executeEffect(ctx context.Context, e controller.Effect) {
	defer signal(p.wake)
	switch e.Kind {
	case controller.SendSupport:
		p.requestSupport(ctx, e)
		return
	case controller.SendResign:
		if err := p.peers.Resign(ctx, e.To.Address, *e.Resign); err != nil {
			p.logger.WithError(err).Warn("resignation could not be sent")
		}
		return
	case controller.StoreTable, controller.LoadTable, controller.StoreSuccession, controller.LoadSuccession:
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		p.callStore(callCtx, e)
	}
}

func (p *Pair) requestSupport(ctx context.Context, e controller.Effect) {
	var response control.SupportResponse
	if e.To.Same(p.self) {
		response = p.HandleSupport(time.Now(), *e.Support)
	} else {
		var err error
		if response, err = p.peers.Support(ctx, e.To.Address, *e.Support); err != nil {
			p.logger.WithError(err).Debug("support request failed")
			return
		}
	}
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	p.controller.HandleSupportResponse(time.Now(), e.Sent, response)
}

func (p *Pair) callStore(ctx context.Context, e controller.Effect) {
	var applyResult func(now time.Time)
	switch e.Kind {
	case controller.LoadTable:
		t, version, ok := p.store.LoadTable(ctx, p.id)
		applyResult = func(now time.Time) { p.controller.TableLoaded(now, t, version, ok) }
	case controller.StoreTable:
		version, result := p.store.StoreTable(ctx, e.Table, e.ExpectedVersion)
		applyResult = func(now time.Time) { p.controller.TableStored(now, version, result) }
	case controller.LoadSuccession:
		s, found, ok := p.store.LoadSuccession(ctx, p.id)
		applyResult = func(now time.Time) { p.controller.SuccessionLoaded(now, s, found, ok) }
	case controller.StoreSuccession:
		version, result := p.store.StoreSuccession(ctx, e.Succession, e.ExpectedVersion)
		applyResult = func(now time.Time) { p.controller.SuccessionStored(now, version, result) }
	case controller.SendSupport, controller.SendResign:
		return
	}
	p.controllerMu.Lock()
	defer p.controllerMu.Unlock()
	applyResult(time.Now())
}
