package adminapi

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"merlinpaddle/internal/adminapi/apitest"
	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/logring"
	"merlinpaddle/internal/process"
	"merlinpaddle/internal/replica"
	"merlinpaddle/internal/settings"
)

// writeTokens writes a token file with one administrator and returns its path.
func writeTokens(t *testing.T, name, token string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tokens.yaml")
	content := "tokens:\n  - {name: " + name + ", sha256: " + auth.Hash(token) + ", role: admin}\n"
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// freeAddress returns a loopback address on whose port nothing listened when it was chosen.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// newApplication returns an application with Module and an in-memory control group.
func newApplication(t *testing.T, chosen settings.Settings) *fx.App {
	t.Helper()
	group := apitest.NewGroup()
	return fx.New(
		fx.NopLogger,
		fx.Supply(chosen, zap.NewNop(), logring.NewDumper(t.TempDir(), "node", logring.New(1), time.Now), group.Machine),
		fx.Provide(
			process.NewTasks,
			func() replica.Group { return group },
			func() RolloutReader { return &apitest.Rollout{} },
		),
		Module(),
	)
}

func TestModuleServesPlainHTTPOnLoopback(t *testing.T) {
	chosen := settings.Default()
	chosen.Node = "control-1"
	chosen.Control.API = freeAddress(t)
	chosen.Control.Tokens = writeTokens(t, "admin", "secret")
	application := newApplication(t, chosen)
	require.NoError(t, application.Start(t.Context()))
	defer func() { require.NoError(t, application.Stop(context.Background())) }()

	require.Equal(t, http.StatusOK, statusOf(t, http.DefaultClient, "http://"+chosen.Control.API, "secret"))
	require.Equal(t, http.StatusUnauthorized, statusOf(t, http.DefaultClient, "http://"+chosen.Control.API, "guess"))

	second := newApplication(t, chosen)
	require.Equal(t, faults.CodeAddressInUse, wrappedCode(second.Start(t.Context())))
	require.NoError(t, second.Stop(context.Background()))
}

// statusOf returns the HTTP status of GET /v1/status.
func statusOf(t *testing.T, caller *http.Client, base, token string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, base+"/v1/status", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := caller.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}

func TestModuleServesTLSWithTheKeyFolder(t *testing.T) {
	chosen := settings.Default()
	chosen.Node = "control-1"
	chosen.Keys = t.TempDir()
	chosen.Control.API = freeAddress(t)
	chosen.Control.Tokens = writeTokens(t, "admin", "secret")
	authority := writeCertificate(t, chosen.Keys, "first")
	application := newApplication(t, chosen)
	require.NoError(t, application.Start(t.Context()))
	defer func() { require.NoError(t, application.Stop(context.Background())) }()

	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: authority}}}
	require.Equal(t, http.StatusOK, statusOf(t, caller, "https://"+chosen.Control.API, "secret"))
	caller.CloseIdleConnections()
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key into the folder, and
// returns a pool with the certificate.
func writeCertificate(t *testing.T, folder, name string) *x509.CertPool {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:         true,

		BasicConstraintsValid: true,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	require.NoError(t, err)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: encoded})
	require.NoError(t, os.WriteFile(filepath.Join(folder, certificateFile), certificate, 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(folder, keyFile), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}), 0o600))
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(certificate))
	return pool
}

func TestCertificateIsReloadedWhenItChanges(t *testing.T) {
	folder := t.TempDir()
	writeCertificate(t, folder, "first")
	source := &certificateSource{folder: folder}
	require.NoError(t, source.load())
	servedName := func() string {
		t.Helper()
		certificate, err := source.get(nil)
		require.NoError(t, err)
		parsed, err := x509.ParseCertificate(certificate.Certificate[0])
		require.NoError(t, err)
		return parsed.Subject.CommonName
	}
	require.Equal(t, "first", servedName())

	writeCertificate(t, folder, "second")
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(filepath.Join(folder, certificateFile), later, later))
	source.checked = time.Time{}
	require.Equal(t, "second", servedName())

	require.NoError(t, os.WriteFile(filepath.Join(folder, certificateFile), []byte("broken"), 0o600))
	source.checked = time.Time{}
	require.Equal(t, "second", servedName(), "an invalid file must leave the previous certificate in place")
}

func TestModuleRefusesBadSettings(t *testing.T) {
	tokens := writeTokens(t, "admin", "secret")
	for name, test := range map[string]struct {
		edit func(*settings.Settings)
		code faults.Code
	}{
		"no token file":             {func(s *settings.Settings) { s.Control.Tokens = "" }, faults.CodeSettingsInvalid},
		"plain HTTP off loopback":   {func(s *settings.Settings) { s.Control.API = "192.0.2.1:7443" }, faults.CodeSettingsInvalid},
		"plain HTTP on all":         {func(s *settings.Settings) { s.Control.API = "0.0.0.0:7443" }, faults.CodeSettingsInvalid},
		"missing token file":        {func(s *settings.Settings) { s.Control.Tokens = "/does/not/exist" }, faults.CodeTokensInvalid},
		"key folder without a pair": {func(s *settings.Settings) { s.Keys = t.TempDir() }, faults.CodeSettingsInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			chosen := settings.Default()
			chosen.Node = "control-1"
			chosen.Control.API = freeAddress(t)
			chosen.Control.Tokens = tokens
			test.edit(&chosen)
			application := newApplication(t, chosen)
			err := application.Start(t.Context())
			require.Equal(t, test.code, wrappedCode(err), "%v", err)
		})
	}
}

// wrappedCode returns the code of the error that fx wrapped, or zero when there is none.
func wrappedCode(err error) faults.Code {
	for inner := err; inner != nil; inner = errors.Unwrap(inner) {
		if code := faults.CodeOf(inner); code != 0 {
			return code
		}
	}
	return 0
}
