package load

import (
	"errors"
	"io"
	"os"
)

// ToFile writes to a new file. It does nothing for an empty name.
func ToFile(name string, write func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(errors.Join(write(f), f.Close()))
}
