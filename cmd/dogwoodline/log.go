package main

import (
	"io"
	"log/slog"

	"dogwoodline.example/settings"
)

// newLog returns the log that the settings ask for. Messages start with the
// part that they come from, as in "journal: commit refused".
func newLog(to io.Writer, s settings.Log) *slog.Logger {
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

// errorText writes errors as their message. The log handler would otherwise
// add the stack that errors of package errs carry.
func errorText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
