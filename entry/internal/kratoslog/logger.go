// Package kratoslog passes the log messages of the kratos framework to the logger of the
// process, so that all log lines have the same JSON format.
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

// Logger implements the Logger interface of kratos's log package.
type Logger struct {
	target log.Interface
}

// New returns a logger that writes to target.
func New(target log.Interface) *Logger {
	return &Logger{target: target}
}

// Log writes one log line. The arguments are alternately keys and values. The value of the
// key "msg" becomes the message, the others become fields.
func (l *Logger) Log(level klog.Level, keyvals ...any) error {
	fields := log.Fields{}
	message := "kratos"
	for i := 0; i+1 < len(keyvals); i += 2 {
		key := fmt.Sprint(keyvals[i])
		if key == klog.DefaultMessageKey {
			message = fmt.Sprint(keyvals[i+1])
			continue
		}
		fields[key] = keyvals[i+1]
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
