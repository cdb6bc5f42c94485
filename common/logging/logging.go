// Package logging creates a logger that writes JSON lines with the names of the program and of the
// process.
//
// # Usage
//
//	logger := logging.New(os.Stderr, "entry", "fukuoka-a-1")
//	logger.WithField("upstream", name).Warn("backend server failed")
package logging

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// New returns a logger for level info and above. Each line holds the program's name and the
// process's name.
func New(w io.Writer, program, name string) log.Interface {
	l := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	return l.WithFields(log.Fields{"program": program, "name": name})
}
