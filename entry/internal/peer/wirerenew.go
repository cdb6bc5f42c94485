package peer

import (
	"time"

	"bramleystand.org/common/fence"
	"bramleystand.org/common/outcome"
	"bramleystand.org/common/shard"
	"bramleystand.org/entry/internal/control"
)

type wireRecord struct {
	_         struct{} `cbor:",toarray"`
	Ticket    string
	Outcome   uint8
	Done      bool
	Status    int
	Type      string
	Body      []byte
	Remaining int64
}

type wireTicketRange struct {
	_         struct{} `cbor:",toarray"`
	Fence     uint64
	First     uint64
	Next      uint64
	Age       int64
	Remaining int64
}

type wireRelease struct {
	_             struct{} `cbor:",toarray"`
	Shard         uint32
	ReleasedFence uint64
	TicketRanges  []wireTicketRange
	Records       []wireRecord
}

type wireShardLoad struct {
	_     struct{} `cbor:",toarray"`
	Shard uint32
	Load  float32
}

type wireUpstreamReport struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Fence    uint64
	Revision uint32
	State    uint8
	Load     []wireShardLoad
	Released []wireRelease
	Received []wireRelease
}

type wireLease struct {
	_         struct{} `cbor:",toarray"`
	Upstream  string
	Fence     uint64
	Revision  uint32
	Same      bool
	Shards    []uint32
	Releasing []uint32
	Handovers []wireRelease
}

type wireRenewRequest struct {
	_               struct{} `cbor:",toarray"`
	Pair            wirePair
	Member          wireMember
	Sequence        uint64
	AcceptedVersion wireVersion
	Reports         []wireUpstreamReport
	Resigning       bool
}

type wireRenewResponse struct {
	_          struct{} `cbor:",toarray"`
	Pair       wirePair
	Accepted   bool
	Term       uint32
	Sequence   uint64
	Controller wireMember
	Remaining  int64
	Leases     []wireLease
}

func encodeRecord(r control.Record) wireRecord {
	return wireRecord{
		Ticket: r.Ticket, Outcome: uint8(r.Outcome), Done: r.Done,
		Status: r.Status, Type: r.Type, Body: r.Body, Remaining: int64(r.Remaining),
	}
}

func decodeRecord(w wireRecord) control.Record {
	return control.Record{
		Ticket: w.Ticket, Outcome: outcome.Outcome(w.Outcome), Done: w.Done,
		Status: w.Status, Type: w.Type, Body: w.Body, Remaining: time.Duration(w.Remaining),
	}
}

func encodeTicketRange(e control.TicketRange) wireTicketRange {
	return wireTicketRange{Fence: uint64(e.Fence), First: e.First, Next: e.Next, Age: int64(e.Age), Remaining: int64(e.Remaining)}
}

func decodeTicketRange(w wireTicketRange) control.TicketRange {
	return control.TicketRange{
		Fence: fence.Fence(w.Fence), First: w.First, Next: w.Next,
		Age: time.Duration(w.Age), Remaining: time.Duration(w.Remaining),
	}
}

func encodeRelease(r control.Release) wireRelease {
	return wireRelease{
		Shard: uint32(r.Shard), ReleasedFence: uint64(r.ReleasedFence),
		TicketRanges: mapAll(r.TicketRanges, encodeTicketRange), Records: mapAll(r.Records, encodeRecord),
	}
}

func decodeRelease(w wireRelease) control.Release {
	return control.Release{
		Shard: shard.Shard(w.Shard), ReleasedFence: fence.Fence(w.ReleasedFence),
		TicketRanges: mapAll(w.TicketRanges, decodeTicketRange), Records: mapAll(w.Records, decodeRecord),
	}
}

func encodeUpstreamReport(r control.UpstreamReport) wireUpstreamReport {
	return wireUpstreamReport{
		Upstream: r.Upstream, Fence: uint64(r.Fence), Revision: r.Revision, State: uint8(r.State),
		Load: mapAll(r.Load, func(l control.ShardLoad) wireShardLoad {
			return wireShardLoad{Shard: uint32(l.Shard), Load: float32(l.Load)}
		}),
		Released: mapAll(r.Released, encodeRelease),
		Received: mapAll(r.Received, encodeRelease),
	}
}

func decodeUpstreamReport(w wireUpstreamReport) control.UpstreamReport {
	return control.UpstreamReport{
		Upstream: w.Upstream, Fence: fence.Fence(w.Fence), Revision: w.Revision, State: control.ServerState(w.State),
		Load: mapAll(w.Load, func(l wireShardLoad) control.ShardLoad {
			return control.ShardLoad{Shard: shard.Shard(l.Shard), Load: float64(l.Load)}
		}),
		Released: mapAll(w.Released, decodeRelease),
		Received: mapAll(w.Received, decodeRelease),
	}
}

func encodeLease(l control.Lease) wireLease {
	return wireLease{
		Upstream: l.Upstream, Fence: uint64(l.Fence), Revision: l.Revision, Same: l.Same, Shards: encodeShards(l.Shards),
		Releasing: encodeShards(l.Releasing), Handovers: mapAll(l.Handovers, encodeRelease),
	}
}

func decodeLease(w wireLease) control.Lease {
	return control.Lease{
		Upstream: w.Upstream, Fence: fence.Fence(w.Fence), Revision: w.Revision, Same: w.Same, Shards: decodeShards(w.Shards),
		Releasing: decodeShards(w.Releasing), Handovers: mapAll(w.Handovers, decodeRelease),
	}
}

func encodeRenewRequest(r control.RenewRequest) *wireRenewRequest {
	return &wireRenewRequest{
		Pair: encodePair(r.Pair), Member: encodeMember(r.Member),
		Sequence: r.Sequence, AcceptedVersion: encodeVersion(r.AcceptedVersion),
		Reports: mapAll(r.Reports, encodeUpstreamReport), Resigning: r.Resigning,
	}
}

func decodeRenewRequest(w *wireRenewRequest) control.RenewRequest {
	return control.RenewRequest{
		Pair: decodePair(w.Pair), Member: decodeMember(w.Member),
		Sequence: w.Sequence, AcceptedVersion: decodeVersion(w.AcceptedVersion),
		Reports: mapAll(w.Reports, decodeUpstreamReport), Resigning: w.Resigning,
	}
}

func encodeRenewResponse(r control.RenewResponse) *wireRenewResponse {
	return &wireRenewResponse{
		Pair: encodePair(r.Pair), Accepted: r.Accepted, Term: r.Term, Sequence: r.Sequence, Controller: encodeMember(r.Controller),
		Remaining: int64(r.Remaining), Leases: mapAll(r.Leases, encodeLease),
	}
}

func decodeRenewResponse(w *wireRenewResponse) control.RenewResponse {
	return control.RenewResponse{
		Pair: decodePair(w.Pair), Accepted: w.Accepted, Term: w.Term, Sequence: w.Sequence, Controller: decodeMember(w.Controller),
		Remaining: time.Duration(w.Remaining), Leases: mapAll(w.Leases, decodeLease),
	}
}
