package main

import (
	"io"
	"log/slog"

	"dogwoodline.example/settings"
)

// newLogger returns a logger with the format and level of the settings. An
// unknown level means info. Messages start with the package or component that
// logs them, as in "journal: commit refused".
func newLogger(to io.Writer, s settings.Log) *slog.Logger {
	var level slog.Level
	if level.UnmarshalText([]byte(s.Level)) != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorText}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}

// errorText replaces errors by their message. The log handler would otherwise
// add the stack trace that errors of package errs carry.
func errorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
