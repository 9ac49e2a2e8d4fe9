package peers

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// keyHeader is the metadata key that carries the peer key in each call.
const keyHeader = "x-zinniaseam-key"

// MinKeyBytes is the minimum length of a peer key.
const MinKeyBytes = 16

var _ credentials.PerRPCCredentials = peerKey("")

// peerKey adds the shared key of the deployment to each call. Without TLS the key
// is sent in plain text, so the network must be private.
type peerKey string

// GetRequestMetadata implements credentials.PerRPCCredentials.
func (k peerKey) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{keyHeader: string(k)}, nil
}

// RequireTransportSecurity implements credentials.PerRPCCredentials.
func (k peerKey) RequireTransportSecurity() bool { return false }

// keyChecker authenticates calls by the digests of the accepted keys. Without
// any, it accepts every call.
type keyChecker struct {
	digests [][sha256.Size]byte
}

// newKeyChecker returns a checker that accepts the current and the former keys.
func newKeyChecker(security Security) *keyChecker {
	checker := &keyChecker{}
	if security.Key == "" {
		return checker
	}
	for _, key := range append([]string{security.Key}, security.FormerKeys...) {
		checker.digests = append(checker.digests, sha256.Sum256([]byte(key)))
	}
	return checker
}

// authenticate returns an error if the metadata of a call has none of the accepted keys.
func (k *keyChecker) authenticate(incoming metadata.MD) error {
	if len(k.digests) == 0 || slices.ContainsFunc(incoming.Get(keyHeader), k.accepts) {
		return nil
	}
	return status.Error(codes.Unauthenticated, "the peer key is missing or wrong")
}

// accepts compares value with every accepted key in constant time.
func (k *keyChecker) accepts(value string) bool {
	got := sha256.Sum256([]byte(value))
	found := 0
	for i := range k.digests {
		found |= subtle.ConstantTimeCompare(got[:], k.digests[i][:])
	}
	return found == 1
}
