package load

import (
	"errors"
	"io"
	"os"
)

// WriteFile creates or truncates the named file and calls write with it. It does
// nothing if the name is empty.
func WriteFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(errors.Join(write(f), f.Close()))
}
