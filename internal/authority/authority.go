package authority

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"time"
)

const (
	// validity is the lifetime of an issued certificate.
	validity = 365 * 24 * time.Hour
	// skew is subtracted from the start of validity, for instances whose
	// clocks are behind.
	skew = time.Hour
	// serialBits is the size of serial numbers.
	serialBits = 120
)

// Authority signs the certificates of nodes.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
}

// New returns an authority with a new key, valid from now on. It returns an
// *IssueError if the random source fails.
func New(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &IssueError{cause: err}
	}
	template, err := newTemplate(now, "papayapath authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	certificate, err := sign(template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Issue returns a new certificate for the node called name.
func (a *Authority) Issue(now time.Time, name string) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, &IssueError{cause: err}
	}
	template, err := newTemplate(now, name)
	if err != nil {
		return tls.Certificate{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	certificate, err := sign(template, a.certificate, key.Public(), a.key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: key, Leaf: certificate}, nil
}

// Pool returns a pool that holds the authority's certificate.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// PEM returns the authority's certificate in PEM form.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

// Encode returns the PEM forms of an issued certificate and its key.
func Encode(c tls.Certificate) (certificate, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return nil, nil, &IssueError{cause: err}
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c.Certificate[0]})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
	return certificate, key, nil
}

func newTemplate(now time.Time, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, &IssueError{cause: err}
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-skew),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, public crypto.PublicKey, key crypto.Signer) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		return nil, &IssueError{cause: err}
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &IssueError{cause: err}
	}
	return certificate, nil
}

// IssueError reports a certificate that can't be made.
type IssueError struct{ cause error }

// Error gives the cause.
func (e *IssueError) Error() string { return fmt.Sprintf("issue certificate: %v", e.cause) }

// Unwrap returns the cause.
func (e *IssueError) Unwrap() error { return e.cause }
