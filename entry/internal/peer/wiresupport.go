package peer

import (
	"time"

	"bramleystand.org/entry/internal/control"
)

type wireVersion struct {
	_        struct{} `cbor:",toarray"`
	Term     uint32
	Sequence uint64
}

type wireSuccession struct {
	_       struct{} `cbor:",toarray"`
	Pair    wirePair
	Term    uint32
	Version int64
	Members []wireMember
	Former  []wireMember
	Founded uint32
}

type wireSupportRequest struct {
	_                struct{} `cbor:",toarray"`
	Pair             wirePair
	Term             uint32
	Record           int64
	Succession       *wireSuccession
	FormerSuperseded bool
	MembersLost      bool
	Elected          bool
	Candidate        wireMember
	Version          wireVersion
	Table            *wireTable
}

type wireSupportResponse struct {
	_                 struct{} `cbor:",toarray"`
	Pair              wirePair
	Accepted          bool
	IsCandidate       bool
	Term              uint32
	Record            int64
	Succession        *wireSuccession
	Member            wireMember
	Version           wireVersion
	Table             *wireTable
	LeasesOutstanding int64
}

type wireResignRequest struct {
	_     struct{} `cbor:",toarray"`
	Pair  wirePair
	Term  uint32
	From  wireMember
	Table *wireTable
}

func encodeVersion(v control.Version) wireVersion {
	return wireVersion{Term: v.Term, Sequence: v.Sequence}
}

func decodeVersion(w wireVersion) control.Version {
	return control.Version{Term: w.Term, Sequence: w.Sequence}
}

func encodeSuccession(s *control.Succession) *wireSuccession {
	if s == nil {
		return nil
	}
	return &wireSuccession{
		Pair: encodePair(s.Pair), Term: s.Term, Version: s.Version, Founded: s.Founded,
		Members: mapAll(s.Members, encodeMember), Former: mapAll(s.Former, encodeMember),
	}
}

func decodeSuccession(w *wireSuccession) *control.Succession {
	if w == nil {
		return nil
	}
	return &control.Succession{
		Pair: decodePair(w.Pair), Term: w.Term, Version: w.Version, Founded: w.Founded,
		Members: mapAll(w.Members, decodeMember), Former: mapAll(w.Former, decodeMember),
	}
}

func encodeSupportRequest(r control.SupportRequest) *wireSupportRequest {
	return &wireSupportRequest{
		Pair: encodePair(r.Pair), Term: r.Term, Record: r.Record,
		Succession: encodeSuccession(r.Succession), FormerSuperseded: r.FormerSuperseded, MembersLost: r.MembersLost, Elected: r.Elected,
		Candidate: encodeMember(r.Candidate), Version: encodeVersion(r.Version), Table: encodeTable(r.Table),
	}
}

func decodeSupportRequest(w *wireSupportRequest) control.SupportRequest {
	return control.SupportRequest{
		Pair: decodePair(w.Pair), Term: w.Term, Record: w.Record,
		Succession: decodeSuccession(w.Succession), FormerSuperseded: w.FormerSuperseded, MembersLost: w.MembersLost, Elected: w.Elected,
		Candidate: decodeMember(w.Candidate), Version: decodeVersion(w.Version), Table: decodeTable(w.Table),
	}
}

func encodeSupportResponse(r control.SupportResponse) *wireSupportResponse {
	return &wireSupportResponse{
		Pair: encodePair(r.Pair), Accepted: r.Accepted, IsCandidate: r.IsCandidate, Term: r.Term, Record: r.Record,
		Succession: encodeSuccession(r.Succession), Member: encodeMember(r.Member),
		Version: encodeVersion(r.Version), Table: encodeTable(r.Table), LeasesOutstanding: int64(r.LeasesOutstanding),
	}
}

func decodeSupportResponse(w *wireSupportResponse) control.SupportResponse {
	return control.SupportResponse{
		Pair: decodePair(w.Pair), Accepted: w.Accepted, IsCandidate: w.IsCandidate, Term: w.Term, Record: w.Record,
		Succession: decodeSuccession(w.Succession), Member: decodeMember(w.Member),
		Version: decodeVersion(w.Version), Table: decodeTable(w.Table), LeasesOutstanding: time.Duration(w.LeasesOutstanding),
	}
}

func encodeResignRequest(r control.ResignRequest) *wireResignRequest {
	return &wireResignRequest{Pair: encodePair(r.Pair), Term: r.Term, From: encodeMember(r.From), Table: encodeTable(r.Table)}
}

func decodeResignRequest(w *wireResignRequest) control.ResignRequest {
	return control.ResignRequest{Pair: decodePair(w.Pair), Term: w.Term, From: decodeMember(w.From), Table: decodeTable(w.Table)}
}

func encodeResignResponse(struct{}) *struct{} { return &struct{}{} }

func decodeResignResponse(*struct{}) struct{} { return struct{}{} }
