// Package logging builds the logger that every program uses: JSON lines on a writer.
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

// New returns a logger that writes JSON lines with the program and process name in each.
func New(w io.Writer, program, name string) log.Interface {
	l := &log.Logger{Handler: json.New(w), Level: log.InfoLevel}
	return l.WithFields(log.Fields{"program": program, "name": name})
}
