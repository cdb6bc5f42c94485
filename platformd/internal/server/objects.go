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
	// maxValueBytes limits the value of an object.
	maxValueBytes = 1 << 20
	// maxNameBytes limits the name of an object.
	maxNameBytes = 512
	// maxWatchChanges limits the number of changes in the response to a watch.
	maxWatchChanges = 64
	// maxWatchWait limits how long a watch may wait for a change.
	maxWatchWait = time.Minute
)

// get answers with an object's value, and with its version, author and change identifier in headers.
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

// list answers with all objects and tombstones whose names have the prefix.
func (s *Server) list(w http.ResponseWriter, r *http.Request, _ string) {
	objects, version := s.store.List(r.URL.Query().Get("prefix"))
	writeJSON(w, http.StatusOK, encodeObjects(objects, version))
}

// put stores the body as the value of an object.
func (s *Server) put(w http.ResponseWriter, r *http.Request, name string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeJSON(w, http.StatusRequestEntityTooLarge, problemJSON{
			Error: fmt.Sprintf("server: value of %q is larger than %d bytes", name, maxValueBytes),
		})
		return
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: fmt.Sprintf("server: value of %q: %s", name, err)})
		return
	}
	s.write(w, r, store.Object{Name: name, Value: value})
}

// remove replaces an object by a tombstone.
func (s *Server) remove(w http.ResponseWriter, r *http.Request, name string) {
	s.write(w, r, store.Object{Name: name, Deleted: true})
}

// write stores an object or a tombstone if the current version is the one in the If-Version header.
func (s *Server) write(w http.ResponseWriter, r *http.Request, o store.Object) {
	o.Author, o.Change = r.Header.Get("Author"), r.Header.Get("Change")
	if o.Author == "" || o.Change == "" || o.Name == "" || len(o.Name) > maxNameBytes {
		writeJSON(w, http.StatusBadRequest, problemJSON{
			Error: fmt.Sprintf("server: a write needs the headers Author and Change and a name of 1 to %d bytes", maxNameBytes),
		})
		return
	}
	ifVersion := r.Header.Get("If-Version")
	if ifVersion == "" {
		writeJSON(w, http.StatusPreconditionRequired, problemJSON{Error: "server: a write needs the header If-Version, with 0 to create an object"})
		return
	}
	expected, err := strconv.ParseInt(ifVersion, 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: fmt.Sprintf("server: If-Version: %q is not allowed, allowed: a version number", ifVersion)})
		return
	}
	written, err := s.store.Write(o, expected)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		c := conflict.Current
		writeJSON(w, http.StatusConflict, problemJSON{
			Error:   err.Error(),
			Version: c.Version, Author: c.Author, Change: c.Change, Deleted: c.Deleted,
		})
		return
	}
	if s.faults.ConsumeResponseLoss() {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, versionJSON{Version: written.Version})
}

// watch answers as soon as there are changes after a version, or when the wait is over or the server
// stops. An outage that begins during the wait applies to it as well.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, _ string) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, problemJSON{Error: fmt.Sprintf("server: after: %q is not allowed, allowed: a version number", q.Get("after"))})
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait < 0 || wait > maxWatchWait {
		writeJSON(w, http.StatusBadRequest, problemJSON{
			Error: fmt.Sprintf("server: wait: %q is not allowed, allowed: 0s to %s", q.Get("wait"), maxWatchWait),
		})
		return
	}
	waitTimer := time.NewTimer(wait)
	defer waitTimer.Stop()
	waitOver := wait == 0
	for {
		changed := s.store.Changed()
		_, faults := s.faults.State()
		if !s.applyOutage(w, r) {
			return
		}
		objects, version, err := s.store.ChangesAfter(q.Get("prefix"), after, maxWatchChanges)
		if err != nil {
			writeJSON(w, http.StatusGone, problemJSON{
				Error:   fmt.Sprintf("server: changes after version %d are not known, list again", after),
				Version: version,
			})
			return
		}
		if len(objects) > 0 || waitOver {
			writeJSON(w, http.StatusOK, encodeObjects(objects, version))
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-waitTimer.C:
			waitOver = true
		case <-s.stopping:
			waitOver = true
		case <-changed:
		case <-faults:
		}
	}
}

// listVMs answers with the version of the list of VMs that is visible now.
func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, encodeVMs(s.vms.Visible(time.Now())))
}
