// Package turnlog keeps records durable in segment files on one disk.
//
// Records are framed with their length and checksum. A batch is durable when
// Append returns nil. After a loss of power, what follows the first damaged
// record of a segment was never reported as durable.
package turnlog

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("turnlog")

const (
	// segmentBytes is the size at which a new segment is begun. Segments are
	// removed whole, so small ones free the disk soon.
	segmentBytes = 8 << 20
	frameBytes   = 8 // length and checksum, 4 bytes each
	// longestRecord bounds a record, so that a damaged length is noticed.
	longestRecord = 16 << 20
	segmentSuffix = ".log"
	identityName  = "identity"
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// Log is the log of one disk. One duty owns it.
type Log struct {
	folder   string
	identity string
	file     *os.File
	number   uint64 // of the segment that is written
	written  int64
	damaged  bool // the last write failed, so the segment may end torn
	segments []uint64
	buffer   []byte
}

// Open opens the log in a folder and hands every durable record, oldest
// first, to replay. An empty folder gets a new identity.
func Open(folder string, replay func(segment uint64, payload []byte) error) (*Log, error) {
	l := &Log{folder: folder}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := l.identify(); err != nil {
		return nil, err
	}
	names, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(filepath.Base(name), "%d"+segmentSuffix, &number); err != nil {
			return nil, Error.New("unexpected file %s", filepath.Base(name))
		}
		l.segments = append(l.segments, number)
	}
	slices.Sort(l.segments)
	for _, number := range l.segments {
		if err := l.replay(number, replay); err != nil {
			return nil, err
		}
	}
	if len(l.segments) > 0 {
		l.number = l.segments[len(l.segments)-1]
	}
	return l, l.begin()
}

// Identity names the disk. A disk that was emptied has another identity.
func (l *Log) Identity() string { return l.identity }

// identify reads the identity, or makes one on a disk without. The identity is
// durable before the first record.
func (l *Log) identify() error {
	path := filepath.Join(l.folder, identityName)
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Error.Wrap(err)
	}
	if identity, whole := strings.CutSuffix(string(content), "\n"); whole && len(identity) == 26 {
		l.identity = identity
		return nil
	}
	l.identity = rand.Text()
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = file.WriteString(l.identity + "\n")
	err = errors.Join(err, file.Sync(), file.Close(), l.syncFolder())
	return Error.Wrap(err)
}

func (l *Log) path(number uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016d%s", number, segmentSuffix))
}

// replay reads a segment up to its end or its first damaged record.
func (l *Log) replay(number uint64, apply func(uint64, []byte) error) error {
	content, err := os.ReadFile(l.path(number))
	if err != nil {
		return Error.Wrap(err)
	}
	for len(content) >= frameBytes {
		length := binary.LittleEndian.Uint32(content)
		sum := binary.LittleEndian.Uint32(content[4:])
		if length > longestRecord || int(length) > len(content)-frameBytes {
			return nil
		}
		payload := content[frameBytes : frameBytes+int(length)]
		if crc32.Checksum(payload, checksums) != sum {
			return nil
		}
		if err := apply(number, payload); err != nil {
			return err
		}
		content = content[frameBytes+int(length):]
	}
	return nil
}

// begin starts a new segment, so that nothing is appended behind a torn end.
func (l *Log) begin() error {
	number := l.number + 1
	file, err := os.OpenFile(l.path(number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := errors.Join(file.Sync(), l.syncFolder()); err != nil {
		return Error.Wrap(errors.Join(err, file.Close()))
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return Error.Wrap(err)
		}
	}
	l.file, l.number, l.written, l.damaged = file, number, 0, false
	l.segments = append(l.segments, number)
	return nil
}

func (l *Log) syncFolder() error {
	folder, err := os.Open(l.folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// Segment is the number of the segment that Append writes next.
func (l *Log) Segment() uint64 { return l.number }

// Append makes the payloads durable, or returns an error; then some of them
// may be found at the next Open.
func (l *Log) Append(payloads [][]byte) error {
	if l.damaged || l.written >= segmentBytes {
		if err := l.begin(); err != nil {
			return err
		}
	}
	l.buffer = l.buffer[:0]
	for _, payload := range payloads {
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, uint32(len(payload)))
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, crc32.Checksum(payload, checksums))
		l.buffer = append(l.buffer, payload...)
	}
	_, err := l.file.Write(l.buffer)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.damaged = true
		return Error.Wrap(err)
	}
	l.written += int64(len(l.buffer))
	return nil
}

// Oldest returns the oldest segment, and false if it is still written.
func (l *Log) Oldest() (uint64, bool) {
	if len(l.segments) == 0 || l.segments[0] == l.number {
		return 0, false
	}
	return l.segments[0], true
}

// RemoveOldest removes the oldest segment, none of whose records is needed.
func (l *Log) RemoveOldest() error {
	number, ok := l.Oldest()
	if !ok {
		return nil
	}
	if err := os.Remove(l.path(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Error.Wrap(err)
	}
	l.segments = l.segments[1:]
	return nil
}

// Close closes the segment.
func (l *Log) Close() error { return Error.Wrap(l.file.Close()) }
