package cluster

import (
	"context"
	"net/netip"
	"time"

	"bramleystand.org/entry/internal/report"
)

// Peers calls other entry processes.
type Peers interface {
	Report(ctx context.Context, to netip.AddrPort, r report.Report) (report.Answer, error)
	Follow(ctx context.Context, to netip.AddrPort, marks []report.Mark, silence time.Duration, take func(report.Update) error) error
	Yield(ctx context.Context, to netip.AddrPort, y report.Yield) (report.Yielded, error)
	Snapshot(ctx context.Context, to netip.AddrPort) ([]report.Object, error)
}
