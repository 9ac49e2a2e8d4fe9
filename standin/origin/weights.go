package origin

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/standin"
)

// AddFile adds the file at path as the weights of the given version and returns its
// manifest. The file must not change afterwards.
func (s *Server) AddFile(id core.VersionID, path string, chunkBytes int64) (core.Manifest, error) {
	file, err := os.Open(path)
	if err != nil {
		return core.Manifest{}, fmt.Errorf("version %s: %w", id, err)
	}
	manifest, err := buildManifest(id, file, chunkBytes)
	if err != nil {
		return core.Manifest{}, errors.Join(err, file.Close())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[id] = &version{manifest: manifest, file: file}
	return manifest, nil
}

func buildManifest(id core.VersionID, weights io.Reader, chunkBytes int64) (core.Manifest, error) {
	if chunkBytes <= 0 || chunkBytes > core.MaxChunkBytes {
		return core.Manifest{}, fmt.Errorf("version %s: chunk_bytes is %d, want 1 to %d", id, chunkBytes, core.MaxChunkBytes)
	}
	manifest := core.Manifest{Version: id, ChunkBytes: chunkBytes}
	hash := sha256.New()
	chunk := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(weights, chunk)
		if n > 0 {
			manifest.SizeBytes += int64(n)
			manifest.Chunks = append(manifest.Chunks, core.DigestOf(chunk[:n]))
			hash.Write(chunk[:n])
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return core.Manifest{}, fmt.Errorf("version %s: %w", id, err)
		}
	}
	hash.Sum(manifest.Whole[:0])
	return manifest, manifest.Validate()
}

func (s *Server) putVersion(w http.ResponseWriter, r *http.Request) {
	chunkBytes := int64(DefaultChunkBytes)
	if text := r.URL.Query().Get("chunk_bytes"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		chunkBytes = parsed
	}
	manifest, err := s.AddFile(core.VersionID(r.PathValue("version")), r.URL.Query().Get("path"), chunkBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	standin.WriteJSON(w, http.StatusOK, manifest)
}

func (s *Server) getManifest(w http.ResponseWriter, r *http.Request) {
	s.count(func() { s.stats.ManifestCalls++ })
	if s.currentFaults().Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	if s.limited(w) {
		return
	}
	found := s.find(core.VersionID(r.PathValue("version")))
	if found == nil {
		http.Error(w, "version is not known", http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, http.StatusOK, found.manifest)
}

func (s *Server) getRange(w http.ResponseWriter, r *http.Request) {
	s.count(func() { s.stats.RangeCalls++ })
	faults := s.currentFaults()
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	id := core.VersionID(r.PathValue("version"))
	found := s.find(id)
	if found == nil {
		http.Error(w, "version is not known", http.StatusNotFound)
		return
	}
	size := found.manifest.SizeBytes
	first, last, err := parseRange(r.Header.Get("Range"), size)
	if err != nil {
		w.Header().Set("Content-Range", fmt.Sprintf("bytes */%d", size))
		http.Error(w, err.Error(), http.StatusRequestedRangeNotSatisfiable)
		return
	}
	response := rangeResponse{server: s, version: found, first: first, last: last, corruptAt: -1, stallAt: -1}
	if s.random.Bernoulli(faults.CorruptRate) {
		response.corruptAt = first + int64(s.random.IntN(int(last-first+1)))
		s.count(func() { s.stats.Corrupted++ })
	}
	if s.random.Bernoulli(faults.StallRate) {
		response.stallAt = first + (last-first)/2
		response.stall = standin.Milliseconds(faults.StallMS)
		s.count(func() { s.stats.Stalled++ })
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(last-first+1, 10))
	w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", first, last, size))
	w.WriteHeader(http.StatusPartialContent)
	response.send(w, r)
}

// parseRange parses a Range header of the form "bytes=first-last"; last is optional.
func parseRange(header string, size int64) (first, last int64, err error) {
	spec, ok := strings.CutPrefix(header, "bytes=")
	if !ok {
		return 0, 0, errors.New("header Range: want bytes=first-last")
	}
	from, to, _ := strings.Cut(spec, "-")
	first, err = strconv.ParseInt(from, 10, 64)
	if err != nil {
		return 0, 0, fmt.Errorf("header Range: %w", err)
	}
	last = size - 1
	if to != "" {
		last, err = strconv.ParseInt(to, 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("header Range: %w", err)
		}
	}
	last = min(last, size-1)
	if first < 0 || first > last {
		return 0, 0, fmt.Errorf("header Range: %d-%d is not within %d bytes", first, last, size)
	}
	return first, last, nil
}

// rangeResponse sends one byte range at the rate of the origin's link. corruptAt and
// stallAt are offsets of the version, or -1.
type rangeResponse struct {
	server    *Server
	version   *version
	first     int64
	last      int64
	corruptAt int64
	stallAt   int64
	stall     time.Duration
}

func (rr rangeResponse) send(w http.ResponseWriter, r *http.Request) {
	id := rr.version.manifest.Version
	buffer := make([]byte, writeBytes)
	for at := rr.first; at <= rr.last; {
		block := buffer[:min(writeBytes, rr.last-at+1)]
		if rr.server.link.WaitN(r.Context(), len(block)) != nil {
			return
		}
		if _, err := rr.version.file.ReadAt(block, at); err != nil {
			standin.DropConnection()
		}
		end := at + int64(len(block))
		if rr.corruptAt >= at && rr.corruptAt < end {
			block[rr.corruptAt-at] ^= 0xff
		}
		if rr.stallAt >= at && rr.stallAt < end && !rr.pause(w, r) {
			return
		}
		if _, err := w.Write(block); err != nil {
			return
		}
		rr.server.count(func() { rr.server.stats.BytesServed[id] += int64(len(block)) })
		at = end
	}
}

// pause flushes the response and waits for the duration of the stall. It returns false
// if the caller disconnects first.
func (rr rangeResponse) pause(w http.ResponseWriter, r *http.Request) bool {
	_ = http.NewResponseController(w).Flush()
	return standin.Sleep(r, rr.stall)
}
