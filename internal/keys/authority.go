// Package keys creates and loads the certificates with which the system's processes authenticate each
// other. Each process has a certificate with its name and role, signed by the system's own certificate
// authority.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

const (
	// Lifetime is the validity period of authorities and certificates.
	Lifetime = 10 * 365 * 24 * time.Hour
	// clockTolerance is how far the start of a certificate's validity is dated back, because the
	// clocks of machines differ.
	clockTolerance = time.Hour
	// serialBits is the size of the random serial numbers in bits.
	serialBits = 120

	blockCertificate = "CERTIFICATE"
	blockKey         = "PRIVATE KEY"
	authorityName    = "merlinpaddle authority"
)

// Process is the process that a certificate is issued to.
type Process struct {
	Name model.NodeName
	Role model.Role
	// Addresses are the IP addresses of the administration API of a control member; other
	// processes need none.
	Addresses []net.IP
}

// Pair is a certificate and its private key, in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority is the certificate authority that signs the certificates of processes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pair        Pair
}

// NewAuthority creates an authority with a new key.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, faults.New(faults.CodeKeysInvalid, "create authority key: %v", err)
	}
	template := certificateTemplate(now)
	template.Subject = pkix.Name{CommonName: authorityName}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority parses an authority's certificate and key.
func ParseAuthority(pair Pair) (*Authority, error) {
	certificate, err := parseCertificate(pair.Certificate)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(pair.Key)
	if block == nil {
		return nil, faults.New(faults.CodeKeysUnreadable, "authority key is not PEM")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, faults.New(faults.CodeKeysUnreadable, "authority key: %v", err)
	}
	key, isECDSA := parsed.(*ecdsa.PrivateKey)
	if !isECDSA {
		return nil, faults.New(faults.CodeKeysUnreadable, "authority key is not an ECDSA key")
	}
	return &Authority{certificate: certificate, key: key, pair: pair}, nil
}

// Pair returns the authority's own certificate and key.
func (authority *Authority) Pair() Pair { return authority.pair }

// Issue creates a key and a certificate for the process.
func (authority *Authority) Issue(process Process, now time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, faults.New(faults.CodeKeysInvalid, "create key: %v", err)
	}
	template := certificateTemplate(now)
	template.Subject = pkix.Name{CommonName: string(process.Name), OrganizationalUnit: []string{string(process.Role)}}
	template.DNSNames = []string{string(process.Name)}
	template.IPAddresses = process.Addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return sign(template, authority.certificate, key, authority.key)
}

func certificateTemplate(now time.Time) *x509.Certificate {
	return &x509.Certificate{
		NotBefore: now.Add(-clockTolerance),
		NotAfter:  now.Add(Lifetime),
	}
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, faults.New(faults.CodeKeysInvalid, "create serial number: %v", err)
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, faults.New(faults.CodeKeysInvalid, "sign certificate: %v", err)
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, faults.New(faults.CodeKeysInvalid, "encode key: %v", err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: keyBytes}),
	}, nil
}

func parseCertificate(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != blockCertificate {
		return nil, faults.New(faults.CodeKeysUnreadable, "certificate is not PEM")
	}
	certificate, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, faults.New(faults.CodeKeysUnreadable, "certificate: %v", err)
	}
	return certificate, nil
}
