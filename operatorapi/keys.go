package operatorapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"strings"

	"github.com/emicklei/go-restful/v3"
)

// MinKeyBytes is the minimum length of an operator key.
const MinKeyBytes = 16

// maxKeys bounds the number of operator keys.
const maxKeys = 256

const (
	bearerPrefix    = "Bearer "
	operatorAttr    = "operator"
	maxOperatorName = 64
)

// key is an operator's name with the digest of the operator's key.
type key struct {
	name   string
	digest [sha256.Size]byte
}

// Keys are the operators' keys. Only digests are stored, so that a key can't be
// printed by accident.
type Keys []key

// String returns the number of keys and nothing else about them.
func (k Keys) String() string { return fmt.Sprintf("%d operator keys", len(k)) }

// ParseKeys parses a setting of the form name:key,name:key. Errors contain the
// operator's name or the position in the list, never a key.
func ParseKeys(text string) (Keys, error) {
	var keys Keys
	var errs []error
	seen := map[string]bool{}
	for i, part := range strings.Split(text, ",") {
		name, secret, found := strings.Cut(strings.TrimSpace(part), ":")
		switch {
		case !found || name == "" || len(name) > maxOperatorName:
			errs = append(errs, fmt.Errorf("operator key %d: want name:key", i+1))
		case len(secret) < MinKeyBytes:
			errs = append(errs, fmt.Errorf("operator key of %q: has %d bytes, want at least %d", name, len(secret), MinKeyBytes))
		case seen[name]:
			errs = append(errs, fmt.Errorf("operator key of %q: given twice", name))
		}
		seen[name] = true
		keys = append(keys, key{name: name, digest: sha256.Sum256([]byte(secret))})
	}
	if len(keys) > maxKeys {
		errs = append(errs, fmt.Errorf("operator keys: %d given, want at most %d", len(keys), maxKeys))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return keys, nil
}

// find returns the name of the operator with the given key. It compares with the
// digests of all keys in constant time.
func (k Keys) find(secret string) (name string, ok bool) {
	digest := sha256.Sum256([]byte(secret))
	found := -1
	for i := range k {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(digest[:], k[i].digest[:]), i, found)
	}
	if found < 0 {
		return "", false
	}
	return k[found].name, true
}

// authenticate is a filter that rejects requests without a valid operator key and
// limits wrong attempts from one address. While an address is limited, valid keys
// are rejected as well, so that a correct guess can't be distinguished.
func (a *api) authenticate(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	remote := request.Request.RemoteAddr
	if !a.attempts.allowed(remote) {
		writeError(response, codeTooManyAttempts, "Too many wrong keys came from this address.")
		return
	}
	secret, bearer := strings.CutPrefix(request.HeaderParameter("Authorization"), bearerPrefix)
	name, valid := a.Keys.find(secret)
	if !bearer || !valid {
		a.attempts.recordWrong(remote)
		a.Log.Warn("Rejected a request without a valid operator key.", "remote", remote)
		writeError(response, codeUnauthorized, "An operator key is needed as bearer token.")
		return
	}
	request.SetAttribute(operatorAttr, name)
	chain.ProcessFilter(request, response)
}

// operatorOf returns the name of the operator set by authenticate.
func operatorOf(request *restful.Request) string {
	name, _ := request.Attribute(operatorAttr).(string)
	return name
}
