package report

import (
	"net/netip"
	"time"

	"bramleystand.org/common/keyspace"
	"bramleystand.org/common/registry"
	"bramleystand.org/entry/internal/crashes"
	"bramleystand.org/entry/internal/election"
	"bramleystand.org/entry/internal/requestlimit"
	"bramleystand.org/entry/internal/suspect"
)

// The wire types are encoded as CBOR arrays: the order, number and types of their fields are part of the
// protocol between entry processes.

type wireMember struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Instance int64
	Centre   string
	Address  netip.AddrPort
}

type wireLoad struct {
	_               struct{} `cbor:",toarray"`
	Service         string
	Keys            []keyspace.Key
	MeanServiceTime float64
}

type wireSample struct {
	_               struct{} `cbor:",toarray"`
	Service         string
	ID              string
	Instance        int64
	Requests        int
	RelativeTimeSum float64
}

type wireReport struct {
	_       struct{} `cbor:",toarray"`
	From    wireMember
	Cores   float64
	Loads   []wireLoad
	Samples []wireSample
	Crashes []wireCrash
	Limits  []wireLimit
	CutOff  bool
	Leaving []wireInstance
	Holds   []wireHold
	Roster  uint64
}

// wireHold has the time until the end in microseconds.
type wireHold struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Instance int64
	Left     int64
}

type wireInstance struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Instance int64
}

// wireLimit has the age of the statement in microseconds, because the clocks of two VMs differ.
type wireLimit struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	Instance  int64
	InForce   bool
	PerSecond float64
	Age       int64
}

// wireCrash has the time until the crashes no longer count in microseconds.
type wireCrash struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	Round       uint32
	Servers     []wireInstance
	Left        int64
}

type wireResponse struct {
	_           struct{} `cbor:",toarray"`
	Coordinator bool
	Term        uint64
	Confirmed   bool
	Roster      *wireRoster
}

type wireRoster struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Members []wireMember
	Cores   float64
	CutOff  []string
}

type wireObject struct {
	_            struct{} `cbor:",toarray"`
	Kind         string
	Name         string
	Revision     uint64
	Data         []byte
	BaseRevision uint64
	Deleted      bool
	Compressed   bool
}

type wireCopyVersion struct {
	_        struct{} `cbor:",toarray"`
	Kind     string
	Revision uint64
	Count    int
}

type wireUpdate struct {
	_             struct{} `cbor:",toarray"`
	Term          uint64
	Sent          int64
	LockConfirmed bool
	UpToDate      bool
	LastOutage    time.Duration
	Objects       []wireObject
	CopyVersions  []wireCopyVersion
	Crashes       []wireCrash
	LockHeartbeat uint64
	LockAge       time.Duration
}

type wireFollowRequest struct {
	_            struct{} `cbor:",toarray"`
	CopyVersions []wireCopyVersion
	Tables       []wireTableVersion
}

type wireTableVersion struct {
	_          struct{} `cbor:",toarray"`
	Service    string
	Term       uint64
	Generation uint64
	Revision   uint64
}

type wireSnapshotRequest struct {
	_ struct{} `cbor:",toarray"`
}

type wireObjects struct {
	_       struct{} `cbor:",toarray"`
	Objects []wireObject
}

func encodeMember(m election.Member) wireMember {
	return wireMember{Name: m.Name, Instance: m.Incarnation, Centre: m.DataCentre, Address: m.Address}
}

func decodeMember(w wireMember) election.Member {
	return election.Member{Name: w.Name, Incarnation: w.Instance, DataCentre: w.Centre, Address: w.Address}
}

// encodeReport returns a report as it is sent now.
func encodeReport(now time.Time, r Report) *wireReport {
	w := &wireReport{From: encodeMember(r.From), Cores: r.Cores, CutOff: r.CutOff, Roster: r.RosterVersion}
	for _, l := range r.Loads {
		w.Loads = append(w.Loads, wireLoad{Service: l.Service, Keys: l.Keys, MeanServiceTime: l.MeanServiceTime})
	}
	for _, s := range r.Samples {
		w.Samples = append(w.Samples, wireSample{Service: s.Service, ID: s.Instance.ID, Instance: s.Instance.Incarnation, Requests: s.Requests, RelativeTimeSum: s.RelativeTimeSum})
	}
	w.Crashes = encodeCrashes(now, r.Crashes)
	for inst, l := range r.Limits {
		w.Limits = append(w.Limits, wireLimit{ID: inst.ID, Instance: inst.Incarnation, InForce: l.InForce, PerSecond: l.PerSecond, Age: now.Sub(l.HeardAt).Microseconds()})
	}
	for _, inst := range r.Leaving {
		w.Leaving = append(w.Leaving, wireInstance{ID: inst.ID, Instance: inst.Incarnation})
	}
	for inst, until := range r.Holds {
		w.Holds = append(w.Holds, wireHold{ID: inst.ID, Instance: inst.Incarnation, Left: until.Sub(now).Microseconds()})
	}
	return w
}

// decodeReport returns a report that has been received now.
func decodeReport(now time.Time, w *wireReport) Report {
	r := Report{From: decodeMember(w.From), Cores: w.Cores, CutOff: w.CutOff, RosterVersion: w.Roster}
	for _, l := range w.Loads {
		r.Loads = append(r.Loads, Load{Service: l.Service, Keys: l.Keys, MeanServiceTime: l.MeanServiceTime})
	}
	for _, s := range w.Samples {
		r.Samples = append(r.Samples, Sample{Service: s.Service, Instance: registry.Instance{ID: s.ID, Incarnation: s.Instance}, Requests: s.Requests, RelativeTimeSum: s.RelativeTimeSum})
	}
	r.Crashes = decodeCrashes(now, w.Crashes)
	r.Limits = make(map[registry.Instance]requestlimit.Limit, len(w.Limits))
	for _, l := range w.Limits {
		r.Limits[registry.Instance{ID: l.ID, Incarnation: l.Instance}] = requestlimit.Limit{
			InForce: l.InForce, PerSecond: l.PerSecond, HeardAt: now.Add(-time.Duration(l.Age) * time.Microsecond),
		}
	}
	for _, l := range w.Leaving {
		r.Leaving = append(r.Leaving, registry.Instance{ID: l.ID, Incarnation: l.Instance})
	}
	r.Holds = make(map[registry.Instance]time.Time, len(w.Holds))
	for _, h := range w.Holds {
		r.Holds[registry.Instance{ID: h.ID, Incarnation: h.Instance}] = now.Add(time.Duration(h.Left) * time.Microsecond)
	}
	return r
}

func encodeCrashes(now time.Time, entries []crashes.Entry) []wireCrash {
	var out []wireCrash
	for _, e := range entries {
		w := wireCrash{Fingerprint: uint64(e.Fingerprint), Round: e.Round, Left: e.Expires.Sub(now).Microseconds()}
		for _, s := range e.Servers {
			w.Servers = append(w.Servers, wireInstance{ID: s.ID, Instance: s.Incarnation})
		}
		out = append(out, w)
	}
	return out
}

func decodeCrashes(now time.Time, list []wireCrash) []crashes.Entry {
	var out []crashes.Entry
	for _, w := range list {
		e := crashes.Entry{Fingerprint: suspect.Fingerprint(w.Fingerprint), Round: w.Round, Expires: now.Add(time.Duration(w.Left) * time.Microsecond)}
		for _, s := range w.Servers {
			e.Servers = append(e.Servers, registry.Instance{ID: s.ID, Incarnation: s.Instance})
		}
		out = append(out, e)
	}
	return out
}

func encodeResponse(r Response) *wireResponse {
	return &wireResponse{Coordinator: r.Coordinator, Term: r.Term, Confirmed: r.Confirmed, Roster: encodeRoster(r.Roster)}
}

func encodeRoster(r *Roster) *wireRoster {
	if r == nil {
		return nil
	}
	w := &wireRoster{Version: r.Version, Cores: r.Cores, CutOff: r.CutOff}
	for _, m := range r.Members {
		w.Members = append(w.Members, encodeMember(m))
	}
	return w
}

func decodeResponse(w *wireResponse) Response {
	return Response{Coordinator: w.Coordinator, Term: w.Term, Confirmed: w.Confirmed, Roster: decodeRoster(w.Roster)}
}

func decodeRoster(w *wireRoster) *Roster {
	if w == nil {
		return nil
	}
	r := &Roster{Version: w.Version, Cores: w.Cores, CutOff: w.CutOff}
	for _, m := range w.Members {
		r.Members = append(r.Members, decodeMember(m))
	}
	return r
}

func decodeSnapshotRequest(*wireSnapshotRequest) struct{} { return struct{}{} }

func encodeObjects(objects []Object) *wireObjects {
	w := &wireObjects{}
	for _, o := range objects {
		w.Objects = append(w.Objects, wireObject{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Data: o.Data, BaseRevision: o.BaseRevision, Deleted: o.Deleted, Compressed: o.Compressed})
	}
	return w
}

func decodeObjects(w *wireObjects) []Object {
	out := make([]Object, 0, len(w.Objects))
	for _, o := range w.Objects {
		out = append(out, Object{Kind: o.Kind, Name: o.Name, Revision: o.Revision, Data: o.Data, BaseRevision: o.BaseRevision, Deleted: o.Deleted, Compressed: o.Compressed})
	}
	return out
}

func encodeUpdate(u Update) *wireUpdate {
	w := &wireUpdate{Term: u.Term, LockHeartbeat: u.LockHeartbeat, LockAge: u.LockAge, Sent: u.Sent.UnixNano(), LockConfirmed: u.LockConfirmed, UpToDate: u.UpToDate, LastOutage: u.LastOutage, Crashes: encodeCrashes(u.Sent, u.Crashes), Objects: encodeObjects(u.Objects).Objects}
	w.CopyVersions = encodeCopyVersions(u.CopyVersions)
	return w
}

func encodeCopyVersions(copyVersions []CopyVersion) []wireCopyVersion {
	var out []wireCopyVersion
	for _, m := range copyVersions {
		out = append(out, wireCopyVersion{Kind: m.Kind, Revision: m.Revision, Count: m.Count})
	}
	return out
}

func decodeCopyVersions(w []wireCopyVersion) []CopyVersion {
	var out []CopyVersion
	for _, m := range w {
		out = append(out, CopyVersion{Kind: m.Kind, Revision: m.Revision, Count: m.Count})
	}
	return out
}

func decodeUpdate(now time.Time, w *wireUpdate) Update {
	u := Update{Term: w.Term, LockHeartbeat: w.LockHeartbeat, LockAge: w.LockAge, Sent: time.Unix(0, w.Sent), LockConfirmed: w.LockConfirmed, UpToDate: w.UpToDate, LastOutage: w.LastOutage, Crashes: decodeCrashes(now, w.Crashes), Objects: decodeObjects(&wireObjects{Objects: w.Objects})}
	u.CopyVersions = decodeCopyVersions(w.CopyVersions)
	return u
}

func encodeFollowRequest(r FollowRequest) *wireFollowRequest {
	w := &wireFollowRequest{CopyVersions: encodeCopyVersions(r.CopyVersions)}
	for _, t := range r.Tables {
		w.Tables = append(w.Tables, wireTableVersion{Service: t.Service, Term: t.Term, Generation: t.Generation, Revision: t.Revision})
	}
	return w
}

func decodeFollowRequest(w *wireFollowRequest) FollowRequest {
	r := FollowRequest{CopyVersions: decodeCopyVersions(w.CopyVersions)}
	for _, t := range w.Tables {
		r.Tables = append(r.Tables, TableVersion{Service: t.Service, Term: t.Term, Generation: t.Generation, Revision: t.Revision})
	}
	return r
}

type wireStepDown struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	Successor wireMember
}

type wireStepDownResponse struct {
	_        struct{} `cbor:",toarray"`
	Instance int64
	Stopped  bool
}

func encodeStepDown(r StepDown) *wireStepDown {
	return &wireStepDown{Term: r.Term, Successor: encodeMember(r.Successor)}
}

func decodeStepDown(w *wireStepDown) StepDown {
	return StepDown{Term: w.Term, Successor: decodeMember(w.Successor)}
}

func encodeStepDownResponse(r StepDownResponse) *wireStepDownResponse {
	return &wireStepDownResponse{Instance: r.Incarnation, Stopped: r.Stopped}
}
