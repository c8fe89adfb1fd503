package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
)

// Keyring is the material of mutual TLS between nodes. It can be replaced
// while connections are open; new handshakes use the new material.
type Keyring struct {
	certificate, key, authority string // file names

	mu    sync.RWMutex
	own   *tls.Certificate
	roots *x509.CertPool
}

// New returns a keyring with the given certificate and authorities.
func New(own tls.Certificate, roots *x509.CertPool) *Keyring {
	return &Keyring{own: &own, roots: roots}
}

// Load reads a keyring from PEM files. It returns a *FileError if one can't
// be read or used.
func Load(certificate, key, authority string) (*Keyring, error) {
	k := &Keyring{certificate: certificate, key: key, authority: authority}
	if err := k.Reload(); err != nil {
		return nil, err
	}
	return k, nil
}

// Reload reads the files again. On a *FileError the keyring stays as it was.
func (k *Keyring) Reload() error {
	own, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return &FileError{file: k.certificate, cause: err}
	}
	pem, err := os.ReadFile(k.authority)
	if err != nil {
		return &FileError{file: k.authority, cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return &FileError{file: k.authority, cause: errNoCertificate}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.own, k.roots = &own, roots
	return nil
}

// Config returns the TLS configuration of both ends of a connection between
// nodes. It follows the keyring when that is reloaded.
func (k *Keyring) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current(), nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.current(), nil
		},
		// The library's own check compares host names, which nodes do not
		// have; verify checks the chain against the current authorities.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
	}
}

func (k *Keyring) current() *tls.Certificate {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.own
}

func (k *Keyring) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return &PeerError{cause: errNoCertificate}
	}
	k.mu.RLock()
	roots := k.roots
	k.mu.RUnlock()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return &PeerError{cause: err}
	}
	return nil
}

// errNoCertificate is the cause of errors about missing certificates.
var errNoCertificate = missingError{}

type missingError struct{}

func (missingError) Error() string { return "no certificate" }

// FileError reports a PEM file that can't be read or used.
type FileError struct {
	file  string
	cause error
}

// Error names the file and the fault.
func (e *FileError) Error() string { return fmt.Sprintf("keys: %s: %v", e.file, e.cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }

// PeerError reports a peer whose certificate no known authority signed.
type PeerError struct{ cause error }

// Error gives the reason of the refusal.
func (e *PeerError) Error() string { return fmt.Sprintf("peer certificate: %v", e.cause) }

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.cause }
