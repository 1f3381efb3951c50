package call

import "log/slog"

// Secret is a text that is never printed: formatted, logged or encoded, it is replaced by
// a fixed text.
type Secret string

const hiddenSecret = "(hidden)"

// String returns a fixed text.
func (Secret) String() string { return hiddenSecret }

// GoString returns a fixed text.
func (Secret) GoString() string { return hiddenSecret }

// LogValue returns a fixed text.
func (Secret) LogValue() slog.Value { return slog.StringValue(hiddenSecret) }

// MarshalText returns a fixed text, also for JSON.
func (Secret) MarshalText() ([]byte, error) { return []byte(hiddenSecret), nil }
