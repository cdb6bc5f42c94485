package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems and pageBytes bound a page of a list.
const (
	pageItems = 500
	pageBytes = 1 << 20
)

// object is an object of the store.
type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Rev        uint64   `json:"rev"`
		CreatedRev uint64   `json:"createdRev"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// event is a change of an object.
type event struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	history []event
	changed chan struct{}
	// delay is the time of each answer.
	delay time.Duration
	// hook, if set, is called before a call is handled; if it returns false, the call gets no answer and is not done.
	hook func(r *http.Request) bool
}

func newStore() *store {
	return &store{rev: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{}), delay: 4 * time.Millisecond}
}

// put writes an object of the operator or of a server and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	o.Metadata.Name, o.Spec = name, data
	return s.set(kind, o).Metadata.Rev
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.rev++
	o.Metadata.Rev = s.rev
	s.record(event{kind: kind, rev: s.rev, Object: o, Deleted: true})
}

// set stores an object under the next revision. The lock is held.
func (s *store) set(kind string, o object) object {
	s.rev++
	o.Metadata.Rev = s.rev
	if o.Metadata.CreatedRev == 0 {
		o.Metadata.CreatedRev = s.rev
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.record(event{kind: kind, rev: s.rev, Object: o})
	return o
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if s.hook != nil && !s.hook(r) {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.delay)
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && q.Has("watch"):
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, parts[0], q.Get("after"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]string{"error": "none"})
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.write(w, r, parts, body)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.kinds[kind]))
	for n := range s.kinds[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items, size, more := []object{}, 0, false
	for _, n := range names {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		items = append(items, s.kinds[kind][n])
		size += len(s.kinds[kind][n].Spec)
	}
	rev := s.rev
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].rev > from })
		for _, e := range s.history[first:] {
			if e.kind == kind {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write handles a call that changes an object.
func (s *store) write(w http.ResponseWriter, r *http.Request, parts []string, body []byte) {
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": "no object"})
		return
	}
	kind, name := parts[0], in.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	condition := in.Metadata.Rev
	if v := r.URL.Query().Get("rev"); v != "" {
		condition, _ = strconv.ParseUint(v, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodPost:
		o := object{Spec: in.Spec}
		o.Metadata.Name, o.Metadata.Finalizers = name, in.Metadata.Finalizers
		answer(w, http.StatusCreated, s.set(kind, o))
	case !ok:
		answer(w, http.StatusNotFound, map[string]string{"error": "none"})
	case condition != 0 && condition != old.Metadata.Rev:
		answer(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.rev++
		old.Metadata.Rev = s.rev
		s.record(event{kind: kind, rev: s.rev, Object: old, Deleted: true})
		answer(w, http.StatusOK, old)
	case len(parts) > 2:
		if string(old.Status) != string(in.Status) {
			old.Status = in.Status
			old = s.set(kind, old)
		}
		answer(w, http.StatusOK, old)
	default:
		if string(old.Spec) != string(in.Spec) {
			old.Spec = in.Spec
			old = s.set(kind, old)
		}
		answer(w, http.StatusOK, old)
	}
}
