package core

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// Digest is a SHA-256 digest. Its text form is lower-case hexadecimal.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 digest of data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// String returns the digest in lower-case hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("digest: %w", err)
	}
	if len(raw) != len(d) {
		return fmt.Errorf("digest: %d bytes, want %d", len(raw), len(d))
	}
	copy(d[:], raw)
	return nil
}

// Manifest describes the weights of one version, split into chunks of equal size.
type Manifest struct {
	// Version is the version that the weights belong to.
	Version VersionID `json:"version"`
	// SizeBytes is the total size of the weights.
	SizeBytes int64 `json:"sizeBytes"`
	// ChunkBytes is the size of each chunk; the last one may be shorter.
	ChunkBytes int64 `json:"chunkBytes"`
	// Chunks lists the digest of each chunk, in order.
	Chunks []Digest `json:"chunks"`
	// Whole is the digest of the complete weights.
	Whole Digest `json:"whole"`
}

// Limits on manifests received from outside the process.
const (
	// MaxManifestChunks bounds the number of chunks of one version.
	MaxManifestChunks = 1 << 20
	// MaxChunkBytes bounds the size of one chunk.
	MaxChunkBytes = 64 << 20
)

// Validate returns an error when a size is out of bounds or the number of chunk
// digests does not match the sizes.
func (m *Manifest) Validate() error {
	if m.Version == "" {
		return fmt.Errorf("manifest: version is empty")
	}
	if m.SizeBytes <= 0 {
		return fmt.Errorf("manifest %s: sizeBytes is %d, want more than 0", m.Version, m.SizeBytes)
	}
	if m.ChunkBytes <= 0 || m.ChunkBytes > MaxChunkBytes {
		return fmt.Errorf("manifest %s: chunkBytes is %d, want 1 to %d", m.Version, m.ChunkBytes, MaxChunkBytes)
	}
	want := (m.SizeBytes + m.ChunkBytes - 1) / m.ChunkBytes
	if want > MaxManifestChunks {
		return fmt.Errorf("manifest %s: %d chunks, want at most %d", m.Version, want, MaxManifestChunks)
	}
	if int64(len(m.Chunks)) != want {
		return fmt.Errorf("manifest %s: %d chunk digests, want %d", m.Version, len(m.Chunks), want)
	}
	return nil
}

// Equal reports whether both manifests describe the same chunks of the same version.
func (m *Manifest) Equal(other *Manifest) bool {
	return m.Version == other.Version && m.Whole == other.Whole && m.SizeBytes == other.SizeBytes &&
		m.ChunkBytes == other.ChunkBytes && slices.Equal(m.Chunks, other.Chunks)
}

// Digest returns a digest of the manifest itself: version, sizes and digests.
// Receivers use it to detect a manifest corrupted in transit.
func (m *Manifest) Digest() Digest {
	hash := sha256.New()
	fmt.Fprintf(hash, "%s %d %d %x", m.Version, m.SizeBytes, m.ChunkBytes, m.Whole)
	for i := range m.Chunks {
		hash.Write(m.Chunks[i][:])
	}
	return Digest(hash.Sum(nil))
}

// ChunkRange returns the offset and the length, in bytes, of the chunk at index.
func (m *Manifest) ChunkRange(index int) (offset, length int64) {
	offset = int64(index) * m.ChunkBytes
	length = min(m.ChunkBytes, m.SizeBytes-offset)
	return offset, length
}
