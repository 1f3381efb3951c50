package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"google.golang.org/grpc/credentials"

	"dogwoodline.example/settings"
)

// transportCredentials returns the gRPC credentials for connections from and to
// other nodes. TLS is mutual: each side requires a certificate that an authority
// in the configured authority file signed. If no certificate file is configured,
// both credentials are nil and the connections are not encrypted.
func transportCredentials(files settings.TLS) (inbound, outbound credentials.TransportCredentials, err error) {
	if files.CertificateFile == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, nil, Error.New("cannot load the certificate %s with the key %s: %w", files.CertificateFile, files.KeyFile, err)
	}
	authorityPEM, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, nil, Error.New("cannot read the authority's certificate: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(authorityPEM) {
		return nil, nil, Error.New("the authority file %s contains no valid PEM certificate", files.AuthorityFile)
	}
	inbound = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientCAs: authorities, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	})
	outbound = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: authorities, MinVersion: tls.VersionTLS13,
	})
	return inbound, outbound, nil
}
