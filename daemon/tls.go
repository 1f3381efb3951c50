package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"google.golang.org/grpc/credentials"

	"dogwoodline.example/settings"
)

// transportCredentials returns the gRPC credentials for connections from and to
// other nodes. TLS is mutual: each side requires a certificate that the
// configured authority signed. If no certificate file is configured, both
// credentials are nil and the connections are not encrypted.
func transportCredentials(files settings.TLS) (inbound, outbound credentials.TransportCredentials, err error) {
	if files.CertificateFile == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, Error.New("%s contains no PEM certificate", files.AuthorityFile)
	}
	inbound = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	})
	outbound = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, MinVersion: tls.VersionTLS13,
	})
	return inbound, outbound, nil
}
