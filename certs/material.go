// Package certs loads the certificates of a process and reloads them when they are
// rotated.
//
// A directory contains three PEM files: cert.pem with the certificate chain of the
// process, key.pem with its private key, and ca.pem with the certificates of all
// authorities that may sign the certificates of peers. The platform's agent
// replaces the files while the process runs. Files that are not consistent with
// each other are not applied.
package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Names of the files in the certificate directory.
const (
	CertFile = "cert.pem"
	KeyFile  = "key.pem"
	CAFile   = "ca.pem"
)

// maxFileBytes bounds the size of each file.
const maxFileBytes = 1 << 20

// ErrExpired means that the certificate has expired or is not valid yet.
var ErrExpired = errors.New("certs: certificate is expired or not yet valid")

// Material is a consistent set of certificate, private key and authorities.
type Material struct {
	// Certificate is the process's certificate chain with its private key.
	Certificate tls.Certificate
	// Authorities are the CA certificates that peers are verified against.
	Authorities *x509.CertPool
	// NotBefore and NotAfter are the validity period of Certificate.
	NotBefore, NotAfter time.Time
	// digest is of the three files; it detects a change.
	digest [sha256.Size]byte
}

// Load reads the files in dir. It returns an error if certificate, key and
// authorities are not consistent with each other or the certificate is not valid
// at now. Errors name the file and never contain key material.
func Load(dir string, now time.Time) (*Material, error) {
	cert, err := readFile(dir, CertFile)
	if err != nil {
		return nil, err
	}
	key, err := readFile(dir, KeyFile)
	if err != nil {
		return nil, err
	}
	ca, err := readFile(dir, CAFile)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("certs: %s and %s: %w", CertFile, KeyFile, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("certs: %s: contains no certificate", CAFile)
	}
	material := &Material{
		Certificate: pair, Authorities: authorities,
		NotBefore: pair.Leaf.NotBefore, NotAfter: pair.Leaf.NotAfter, digest: digestOf(cert, key, ca),
	}
	return material, material.check(now)
}

// check returns an error if the certificate is not valid at now or no authority in
// ca.pem signed it.
func (m *Material) check(now time.Time) error {
	if now.Before(m.NotBefore) || now.After(m.NotAfter) {
		return fmt.Errorf("%w: valid from %s to %s", ErrExpired, m.NotBefore.Format(time.RFC3339), m.NotAfter.Format(time.RFC3339))
	}
	intermediates := x509.NewCertPool()
	for _, raw := range m.Certificate.Certificate[1:] {
		if cert, err := x509.ParseCertificate(raw); err == nil {
			intermediates.AddCert(cert)
		}
	}
	_, err := m.Certificate.Leaf.Verify(x509.VerifyOptions{
		Roots: m.Authorities, Intermediates: intermediates, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("certs: %s is not signed by an authority in %s: %w", CertFile, CAFile, err)
	}
	return nil
}

func readFile(dir, name string) ([]byte, error) {
	file, err := os.Open(filepath.Join(dir, name))
	if err != nil {
		return nil, fmt.Errorf("certs: %w", err)
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("certs: %s: %w", name, err)
	}
	if len(content) > maxFileBytes {
		return nil, fmt.Errorf("certs: %s: larger than %d bytes", name, maxFileBytes)
	}
	return content, nil
}

// digestOf hashes the files, each prefixed with its length so that bytes can't
// move from one file to the next without changing the digest.
func digestOf(files ...[]byte) [sha256.Size]byte {
	hash := sha256.New()
	for _, file := range files {
		fmt.Fprintf(hash, "%d:", len(file))
		hash.Write(file)
	}
	return [sha256.Size]byte(hash.Sum(nil))
}
