// Package authority is a stand-in for the platform's certificate authority. It signs
// certificates for IP numbers and writes the files that the product reads. It is for
// tests and measurements only.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/zinniaseam/zinniaseam/certs"
)

// serialBits is the length of certificate serial numbers.
const serialBits = 120

// caValidity is how long an authority's own certificate is valid.
const caValidity = 24 * time.Hour

// fileMode makes written files readable by their owner only.
const fileMode = 0o600

// Authority is a certificate authority.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	// CA is the authority's own certificate in PEM format.
	CA []byte
}

// Validity is the period in which a certificate is valid.
type Validity struct {
	From, Until time.Time
}

// New returns an authority with the given common name and a new key.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Minute), NotAfter: now.Add(caValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(raw)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key, CA: encode("CERTIFICATE", raw)}, nil
}

// Issue signs a certificate for an IP number and returns it and its new key in PEM
// format.
func (a *Authority) Issue(ip string, validity Validity) (certPEM, keyPEM []byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: ip}, IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: validity.From, NotAfter: validity.Until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, nil, err
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, err
	}
	return encode("CERTIFICATE", raw), encode("PRIVATE KEY", rawKey), nil
}

func encode(kind string, raw []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
}

// Write issues a certificate for ip, valid for an hour, and writes it with its key and
// the trusted authorities to dir. Without trusted authorities, it writes only a.
func (a *Authority) Write(dir, ip string, trusted ...*Authority) error {
	now := time.Now()
	cert, key, err := a.Issue(ip, Validity{From: now.Add(-time.Minute), Until: now.Add(time.Hour)})
	if err != nil {
		return err
	}
	ca := a.CA
	if len(trusted) > 0 {
		ca = nil
	}
	for _, other := range trusted {
		ca = append(ca, other.CA...)
	}
	return errors.Join(
		writeAtomic(dir, certs.CertFile, cert),
		writeAtomic(dir, certs.KeyFile, key),
		writeAtomic(dir, certs.CAFile, ca),
	)
}

// writeAtomic replaces a file atomically.
func writeAtomic(dir, name string, content []byte) error {
	temporary := filepath.Join(dir, name+".new")
	if err := os.WriteFile(temporary, content, fileMode); err != nil {
		return err
	}
	return os.Rename(temporary, filepath.Join(dir, name))
}
