package cluster

import (
	"context"
	"net/netip"
	"time"

	"bramleystand.org/entry/internal/report"
)

// Peers calls other entry processes.
type Peers interface {
	Report(ctx context.Context, to netip.AddrPort, r report.Report) (report.Response, error)
	Follow(ctx context.Context, to netip.AddrPort, request report.FollowRequest, timeout time.Duration, handle func(report.Update) error) error
	StepDown(ctx context.Context, to netip.AddrPort, request report.StepDown) (report.StepDownResponse, error)
	Snapshot(ctx context.Context, to netip.AddrPort) ([]report.Object, error)
}
