package transfer

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/zinniaseam/zinniaseam/core"
	"github.com/zinniaseam/zinniaseam/peerpb"
)

// ErrNoManifest means that the peer does not have the manifest.
var ErrNoManifest = errors.New("transfer: peer does not have the manifest")

// EncodeManifest encodes a manifest for another process.
func EncodeManifest(manifest *core.Manifest) *peerpb.ManifestReply {
	chunks := make([]byte, 0, len(manifest.Chunks)*len(core.Digest{}))
	for _, digest := range manifest.Chunks {
		chunks = append(chunks, digest[:]...)
	}
	digest := manifest.Digest()
	return &peerpb.ManifestReply{
		SizeBytes: uint64(manifest.SizeBytes), ChunkBytes: uint64(manifest.ChunkBytes), Chunks: chunks, Digest: digest[:],
	}
}

// DecodeManifest decodes and checks a reply of EncodeManifest. weightsDigest is
// the known digest of the complete weights of the version. The error is
// ErrNoManifest when the peer does not have the manifest.
func DecodeManifest(version core.VersionID, weightsDigest core.Digest, reply *peerpb.ManifestReply) (*core.Manifest, error) {
	if reply.GetMissing() {
		return nil, ErrNoManifest
	}
	manifest := &core.Manifest{
		Version: version, Whole: weightsDigest, SizeBytes: int64(reply.GetSizeBytes()), ChunkBytes: int64(reply.GetChunkBytes()),
	}
	const size = len(core.Digest{})
	packed := reply.GetChunks()
	for ; len(packed) >= size; packed = packed[size:] {
		manifest.Chunks = append(manifest.Chunks, core.Digest(packed[:size]))
	}
	if len(packed) > 0 {
		return nil, fmt.Errorf("manifest %s: %d trailing bytes after the chunk digests", version, len(packed))
	}
	if digest := manifest.Digest(); !bytes.Equal(digest[:], reply.GetDigest()) {
		return nil, fmt.Errorf("manifest %s: digest %s does not match the reply, damaged in transit", version, digest)
	}
	return manifest, manifest.Validate()
}
