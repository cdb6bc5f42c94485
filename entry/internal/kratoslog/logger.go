// Package kratoslog passes the log lines of kratos to the logger of the process,
// so that all lines are JSON lines of one form.
//
// # Usage
//
//	klog.SetLogger(kratoslog.New(logger))
package kratoslog

import (
	"fmt"

	"github.com/apex/log"
	klog "github.com/go-kratos/kratos/v2/log"
)

// Logger implements kratos's logger.
type Logger struct {
	target log.Interface
}

// New returns a logger that writes to target.
func New(target log.Interface) *Logger {
	return &Logger{target: target}
}

// Log writes one line; the value of the key "msg" is the message.
func (l *Logger) Log(level klog.Level, pairs ...any) error {
	fields := log.Fields{}
	message := "kratos"
	for i := 0; i+1 < len(pairs); i += 2 {
		key := fmt.Sprint(pairs[i])
		if key == klog.DefaultMessageKey {
			message = fmt.Sprint(pairs[i+1])
			continue
		}
		fields[key] = pairs[i+1]
	}
	entry := l.target.WithFields(fields)
	switch level {
	case klog.LevelDebug:
		entry.Debug(message)
	case klog.LevelInfo:
		entry.Info(message)
	case klog.LevelWarn:
		entry.Warn(message)
	case klog.LevelError, klog.LevelFatal:
		entry.Error(message)
	}
	return nil
}
