package obs

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// LoggerFactory creates the loggers of one process. It is safe for concurrent
// use.
type LoggerFactory struct{ root log.Logger }

// NewLoggerFactory returns a factory of loggers that write logfmt lines at or
// above the minimum level: debug, info, warn or error. Any other text means info.
func NewLoggerFactory(w io.Writer, minimum string) *LoggerFactory {
	root := log.NewLogfmtLogger(log.NewSyncWriter(w))
	allowed := level.Allow(level.ParseDefault(minimum, level.InfoValue()))
	return &LoggerFactory{level.NewFilter(root, allowed)}
}

// ForPart returns the logger of one part of the process. Every line has the
// part's name in the field "part". Write lines with go-kit's level package and
// pass the text as "msg", a short sentence:
//
//	level.Info(logger).Log("msg", "Joined the cluster.", "peers", 3)
func (l *LoggerFactory) ForPart(name string) log.Logger {
	return log.With(l.root, "ts", log.DefaultTimestampUTC, "part", name)
}

// Logger returns the logger of a process that has only one part.
func Logger(w io.Writer, minimum, part string) log.Logger {
	return NewLoggerFactory(w, minimum).ForPart(part)
}
