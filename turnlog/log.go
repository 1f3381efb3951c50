// Package turnlog implements an append-only log of records in segment files on
// one disk.
//
// Each record is preceded by its length and its checksum. A batch is durable
// when Append returns nil. After a power failure, Open ignores the rest of a
// segment from its first damaged record on. Nothing from there on had been
// reported as durable.
//
// Append returns the position of each record, at which Read finds it again until its
// segment is removed.
package turnlog

import (
	"cmp"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("turnlog")

const (
	// SegmentBytes is the size at which a new segment is started, unless LimitSegments
	// states less. Disk space is freed by removing whole segments, so small ones free
	// it sooner.
	SegmentBytes = 8 << 20
	headerBytes  = 8 // length and checksum of a record, 4 bytes each
	// maxRecordBytes is the largest length that is read as valid; a greater one
	// is taken for damage.
	maxRecordBytes = 16 << 20
	segmentSuffix  = ".log"
	// maxKeptBuffer is the largest buffer that is kept for the next Append.
	maxKeptBuffer = 1 << 20
	identityFile  = "identity"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Position is where a record is in the log.
type Position struct {
	Segment uint64 // 0 if the record is not in the log
	Offset  uint32 // of the record's header in its segment
	Length  uint32 // with the header, in bytes
}

// Log is the log of one disk. One goroutine at a time may use it; only Read, Prefetch and
// DeleteSegment may run beside it.
type Log struct {
	folder       string
	identity     string
	file         *os.File
	current      uint64 // number of the segment that is written
	currentBytes int64
	segmentBytes int64
	mustRotate   bool      // the last write failed, so the segment may end in a partial record
	segments     []segment // ascending
	size         int64     // of all segments, in bytes
	buffer       []byte    // reused by Append
	positions    []Position

	readersMutex sync.Mutex
	readers      map[uint64]*os.File // for Read, by segment; opened at its first use
}

// segment is one file of the log.
type segment struct {
	number uint64
	bytes  int64
}

// Open opens the log in a folder, calls replay for each durable record, oldest
// first, and starts a new segment. An empty folder gets a new identity. The payload is
// valid during the call only.
func Open(folder string, replay func(at Position, payload []byte) error) (*Log, error) {
	l := &Log{folder: folder, segmentBytes: SegmentBytes, readers: map[uint64]*os.File{}}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := l.loadIdentity(); err != nil {
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
		l.segments = append(l.segments, segment{number: number})
	}
	slices.SortFunc(l.segments, func(a, b segment) int { return cmp.Compare(a.number, b.number) })
	if err := l.replay(replay); err != nil {
		return nil, err
	}
	if len(l.segments) > 0 {
		l.current = l.segments[len(l.segments)-1].number
	}
	return l, l.startSegment()
}

// Identity returns the random identifier that was stored on the disk when its
// log was created. A disk that was emptied gets another one.
func (l *Log) Identity() string { return l.identity }

// loadIdentity reads the identity, or creates one if the disk has none or only
// a partially written one. The identity is durable before the first record.
func (l *Log) loadIdentity() error {
	path := filepath.Join(l.folder, identityFile)
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Error.Wrap(err)
	}
	if identity, complete := strings.CutSuffix(string(content), "\n"); complete && len(identity) == 26 {
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

func (l *Log) segmentPath(number uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016d%s", number, segmentSuffix))
}

// contents is a segment that was read, or the error of its reading.
type contents struct {
	bytes []byte
	err   error
}

// replay reads all segments and applies their records. The next segment is read while
// the records of one are applied, because a start must not take the sum of both times.
// Two buffers are used in turn.
func (l *Log) replay(apply func(Position, []byte) error) error {
	read, used, stop := make(chan contents), make(chan []byte, 2), make(chan struct{})
	defer close(stop)
	used <- nil
	used <- nil
	segments := slices.Clone(l.segments)
	go func() {
		for _, each := range segments {
			content, err := readFile(l.segmentPath(each.number), <-used)
			select {
			case read <- contents{content, err}:
			case <-stop:
				return
			}
		}
	}()
	for i := range l.segments {
		current := <-read
		if current.err != nil {
			return Error.Wrap(current.err)
		}
		l.segments[i].bytes = int64(len(current.bytes))
		l.size += l.segments[i].bytes
		if err := applyRecords(l.segments[i].number, current.bytes, apply); err != nil {
			return err
		}
		used <- current.bytes
	}
	return nil
}

// readFile reads a file into the buffer if that is large enough, or else a new one.
func readFile(path string, buffer []byte) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if int64(cap(buffer)) < info.Size() {
		buffer = make([]byte, info.Size())
	}
	buffer = buffer[:info.Size()]
	_, err = io.ReadFull(file, buffer)
	return buffer, err
}

// applyRecords applies the records of a segment up to its end or its first damaged one.
func applyRecords(number uint64, content []byte, apply func(Position, []byte) error) error {
	offset := 0
	for {
		payload, ok := decode(content[offset:])
		if !ok {
			return nil
		}
		at := Position{Segment: number, Offset: uint32(offset), Length: uint32(headerBytes + len(payload))}
		if err := apply(at, payload); err != nil {
			return err
		}
		offset += int(at.Length)
	}
}

// decode returns the payload of the record at the start of the content. It reports false
// if there is none, or a damaged one.
func decode(content []byte) ([]byte, bool) {
	if len(content) < headerBytes {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(content)
	if length > maxRecordBytes || int(length) > len(content)-headerBytes {
		return nil, false
	}
	payload := content[headerBytes : headerBytes+int(length)]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(content[4:])
}

// startSegment creates a segment and makes it the current one. Nothing is
// appended to an earlier segment, because it may end in a partial record, which
// would hide what follows it.
func (l *Log) startSegment() error {
	number := l.current + 1
	file, err := os.OpenFile(l.segmentPath(number), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
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
	l.file, l.current, l.currentBytes, l.mustRotate = file, number, 0, false
	l.segments = append(l.segments, segment{number: number})
	return nil
}

func (l *Log) syncFolder() error {
	folder, err := os.Open(l.folder)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// CurrentSegment returns the number of the current segment. Append writes to this
// segment or, if it has to start a new one, to the next.
func (l *Log) CurrentSegment() uint64 { return l.current }

// Append makes the payloads durable and returns their positions, which are valid until
// the next call. If it returns an error, the next Open may still find some of them.
func (l *Log) Append(payloads [][]byte) ([]Position, error) {
	if l.mustRotate || l.currentBytes >= l.segmentBytes {
		if err := l.startSegment(); err != nil {
			return nil, err
		}
	}
	l.buffer, l.positions = l.buffer[:0], l.positions[:0]
	for _, payload := range payloads {
		l.positions = append(l.positions, Position{
			Segment: l.current, Offset: uint32(l.currentBytes) + uint32(len(l.buffer)), Length: uint32(headerBytes + len(payload)),
		})
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, uint32(len(payload)))
		l.buffer = binary.LittleEndian.AppendUint32(l.buffer, crc32.Checksum(payload, castagnoli))
		l.buffer = append(l.buffer, payload...)
	}
	_, err := l.file.Write(l.buffer)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.undoWrite()
		return nil, Error.Wrap(err)
	}
	l.grow(int64(len(l.buffer)))
	if cap(l.buffer) > maxKeptBuffer {
		l.buffer = nil
	}
	return l.positions, nil
}

// undoWrite removes what a failed write has left, which takes space on a disk that may be
// full, and may end in a partial record. An empty segment is used again, so that each
// failed try does not leave one.
func (l *Log) undoWrite() {
	err := l.file.Truncate(l.currentBytes)
	if err == nil {
		_, err = l.file.Seek(l.currentBytes, io.SeekStart)
	}
	l.mustRotate = err != nil || l.currentBytes > 0
}

// grow counts bytes that were written to the current segment.
func (l *Log) grow(written int64) {
	l.currentBytes += written
	l.segments[len(l.segments)-1].bytes += written
	l.size += written
}

// LimitSegments lowers the size at which a new segment is started, for small disks.
func (l *Log) LimitSegments(bytes int64) { l.segmentBytes = min(l.segmentBytes, bytes) }

// Size returns the bytes of all segments.
func (l *Log) Size() int64 { return l.size }

// Segments returns the number of segments.
func (l *Log) Segments() int { return len(l.segments) }

// OldestSegment returns the number and the bytes of the oldest segment. It reports false
// if that segment is the current one.
func (l *Log) OldestSegment() (number uint64, bytes int64, ok bool) {
	if len(l.segments) == 0 || l.segments[0].number == l.current {
		return 0, 0, false
	}
	return l.segments[0].number, l.segments[0].bytes, true
}

// RemoveOldestSegment removes the oldest segment, unless it is the current one. The
// caller no longer needs any of its records.
func (l *Log) RemoveOldestSegment() error {
	number, _, ok := l.OldestSegment()
	if !ok {
		return nil
	}
	if err := l.DeleteSegment(number); err != nil {
		return err
	}
	l.ForgetOldestSegment()
	return nil
}

// DeleteSegment deletes the file of a segment, which takes a while for a large one.
// ForgetOldestSegment has to follow.
func (l *Log) DeleteSegment(number uint64) error {
	l.readersMutex.Lock()
	if reader := l.readers[number]; reader != nil {
		_ = reader.Close() // it was only read
		delete(l.readers, number)
	}
	l.readersMutex.Unlock()
	if err := os.Remove(l.segmentPath(number)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Error.Wrap(err)
	}
	return nil
}

// ForgetOldestSegment takes the oldest segment, whose file was deleted, off the log.
func (l *Log) ForgetOldestSegment() {
	l.size -= l.segments[0].bytes
	l.segments = slices.Clone(l.segments[1:])
}

// Close closes the files of the log.
func (l *Log) Close() error {
	l.readersMutex.Lock()
	defer l.readersMutex.Unlock()
	for _, reader := range l.readers {
		_ = reader.Close() // it was only read
	}
	l.readers = nil
	return Error.Wrap(l.file.Close())
}
