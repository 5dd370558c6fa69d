package agent

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/quic-go/quic-go"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/settings"
)

const (
	selfSignedCertificate = "agent-certificate.pem"
	selfSignedKey         = "agent-key.pem"
	selfSignedLifetime    = 365 * 24 * time.Hour
	// resetKeyPurpose is the HKDF info string of the reset key. It separates
	// the reset key from other keys derived from the certificate's key.
	resetKeyPurpose = "merlinpaddle stateless reset"
)

// loadCertificate returns the service's certificate: the tenant's files, or a
// self-signed pair in the data folder, which is generated if needed. A
// self-signed pair is for trials only: callers cannot verify it, and it differs
// between agents, so after a restart only the agent itself can reset its flows.
func loadCertificate(config settings.Settings, address netip.AddrPort) (tls.Certificate, error) {
	certificateFile, keyFile := config.Agent.Certificate, config.Agent.Key
	if certificateFile == "" {
		certificateFile = filepath.Join(config.DataFolder, selfSignedCertificate)
		keyFile = filepath.Join(config.DataFolder, selfSignedKey)
		if err := ensureSelfSigned(certificateFile, keyFile, config.Node, address); err != nil {
			return tls.Certificate{}, err
		}
	}
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return tls.Certificate{}, faults.New(faults.AgentCertificate, "agent.certificate %s and agent.key %s: %v", certificateFile, keyFile, err)
	}
	return pair, nil
}

// ensureSelfSigned generates the pair unless the files hold one that has not
// expired.
func ensureSelfSigned(certificateFile, keyFile, node string, address netip.AddrPort) error {
	pair, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err == nil && time.Now().Before(pair.Leaf.NotAfter) {
		return nil
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return faults.New(faults.AgentCertificate, "self-signed pair in %s: %v", filepath.Dir(certificateFile), err)
	}
	certificate, key, err := generateSelfSigned(node, address)
	if err != nil {
		return faults.New(faults.AgentCertificate, "generate a self-signed certificate: %v", err)
	}
	if err := os.MkdirAll(filepath.Dir(certificateFile), 0o700); err != nil {
		return faults.New(faults.AgentCertificate, "%v", err)
	}
	// The certificate is written last: once it exists, so does the key.
	if err := os.WriteFile(keyFile, key, 0o600); err != nil {
		return faults.New(faults.AgentCertificate, "%v", err)
	}
	if err := os.WriteFile(certificateFile, certificate, 0o644); err != nil {
		return faults.New(faults.AgentCertificate, "%v", err)
	}
	return nil
}

// generateSelfSigned returns a new P-256 certificate and its private key in PEM. It
// is valid for node, localhost and the address.
func generateSelfSigned(node string, address netip.AddrPort) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, nil, err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: node},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(selfSignedLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
		DNSNames:     []string{node, "localhost"},
		IPAddresses:  []net.IP{address.Addr().AsSlice()},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return nil, nil, err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, err
	}
	certificate = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey})
	return certificate, key, nil
}

// deriveResetKey derives the QUIC stateless reset key from the certificate's
// private key, which all agents of a service share. Every agent of the service
// can therefore reset a flow that another one lost, and nobody else can.
func deriveResetKey(pair tls.Certificate, service model.ServiceID) (*quic.StatelessResetKey, error) {
	secret, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		return nil, faults.New(faults.AgentCertificate, "encode the certificate's private key: %v", err)
	}
	derived, err := hkdf.Key(sha256.New, secret, nil, fmt.Sprintf("%s %d", resetKeyPurpose, service), len(quic.StatelessResetKey{}))
	if err != nil {
		return nil, faults.New(faults.AgentCertificate, "derive the stateless reset key: %v", err)
	}
	key := quic.StatelessResetKey(derived)
	return &key, nil
}
