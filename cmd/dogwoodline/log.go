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
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(to, options))
	}
	return slog.New(slog.NewTextHandler(to, options))
}
