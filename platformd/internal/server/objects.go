package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bramleystand.org/platformd/internal/store"
)

const (
	// largestValue bounds the value of an object.
	largestValue = 1 << 20
	// largestName bounds the name of an object.
	largestName = 512
	// page is the largest number of changes in the answer to a watch.
	page = 64
	// longestWait bounds how long a watch waits for a change.
	longestWait = time.Minute
)

// get answers with an object's value, and its version, author and change in the header.
func (s *Server) get(w http.ResponseWriter, _ *http.Request, name string) {
	o, ok := s.store.Read(name)
	if !ok || o.Deleted {
		writeJSON(w, http.StatusNotFound, problemJSON{
			Error:   fmt.Sprintf("server: no object %q", name),
			Version: o.Version, Author: o.Author, Change: o.Change, Deleted: o.Deleted,
		})
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(o.Value)))
	h.Set("Version", strconv.FormatInt(o.Version, 10))
	h.Set("Author", o.Author)
	h.Set("Change", o.Change)
	w.Write(o.Value)
}

// list answers with all objects and tombstones that have a prefix.
func (s *Server) list(w http.ResponseWriter, r *http.Request, _ string) {
	objects, version := s.store.List(r.URL.Query().Get("prefix"))
	writeJSON(w, http.StatusOK, encodeObjects(objects, version))
}

// put stores a value.
func (s *Server) put(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, largestValue))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeJSON(w, http.StatusRequestEntityTooLarge, problemJSON{
			Error: fmt.Sprintf("server: value of %q is larger than %d bytes", name, largestValue),
		})
		return
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: fmt.Sprintf("server: value of %q: %s", name, err)})
		return
	}
	s.write(w, r, store.Object{Name: name, Value: value})
}

// remove leaves a tombstone.
func (s *Server) remove(w http.ResponseWriter, r *http.Request, name string) {
	s.write(w, r, store.Object{Name: name, Deleted: true})
}

// write stores an object or a tombstone on the condition that the headers name.
func (s *Server) write(w http.ResponseWriter, r *http.Request, o store.Object) {
	o.Author, o.Change = r.Header.Get("Author"), r.Header.Get("Change")
	if o.Author == "" || o.Change == "" || o.Name == "" || len(o.Name) > largestName {
		writeJSON(w, http.StatusBadRequest, problemJSON{
			Error: fmt.Sprintf("server: a write needs Author, Change and a name of up to %d bytes", largestName),
		})
		return
	}
	text := r.Header.Get("If-Version")
	if text == "" {
		writeJSON(w, http.StatusPreconditionRequired, problemJSON{Error: "server: a write needs If-Version, 0 to create"})
		return
	}
	wanted, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: fmt.Sprintf("server: If-Version: %q is no version", text)})
		return
	}
	written, err := s.store.Write(o, wanted)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		c := conflict.Current
		writeJSON(w, http.StatusConflict, problemJSON{
			Error:   err.Error(),
			Version: c.Version, Author: c.Author, Change: c.Change, Deleted: c.Deleted,
		})
		return
	}
	if s.faults.LoseAnswer() {
		breakOff()
	}
	writeJSON(w, http.StatusOK, versionJSON{Version: written.Version})
}

// watch answers as soon as there are changes after a version, or when the wait is over.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, _ string) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: fmt.Sprintf("server: after: %q is no version", q.Get("after"))})
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait < 0 || wait > longestWait {
		writeJSON(w, http.StatusBadRequest, problemJSON{
			Error: fmt.Sprintf("server: wait: %q is not allowed, only 0s to %s", q.Get("wait"), longestWait),
		})
		return
	}
	over := time.NewTimer(wait)
	defer over.Stop()
	expired := wait == 0
	for {
		changed := s.store.Changed()
		_, faults := s.faults.State()
		if !s.up(w, r) {
			return
		}
		objects, version, err := s.store.After(q.Get("prefix"), after, page)
		if err != nil {
			writeJSON(w, http.StatusGone, problemJSON{
				Error:   fmt.Sprintf("server: changes after version %d are not known, list again", after),
				Version: version,
			})
			return
		}
		if len(objects) > 0 || expired {
			writeJSON(w, http.StatusOK, encodeObjects(objects, version))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-over.C:
			expired = true
		case <-s.stopping:
			expired = true
		case <-changed:
		case <-faults:
		}
	}
}

// listVMs answers with the list of VMs as it is visible now.
func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, encodeVMs(s.vms.View(time.Now())))
}
