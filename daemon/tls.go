package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"google.golang.org/grpc/credentials"

	"dogwoodline.example/settings"
)

// credentialsOf returns the credentials for connections from and to other
// nodes. Both sides show a certificate of the authority, so a peer without one
// is refused. Without files the connections are not encrypted.
func credentialsOf(files settings.TLS) (inbound, outbound credentials.TransportCredentials, err error) {
	if files.CertificateFile == "" {
		return nil, nil, nil
	}
	own, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	authority, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, Error.New("%s holds no certificate", files.AuthorityFile)
	}
	inbound = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{own}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	})
	outbound = credentials.NewTLS(&tls.Config{
		Certificates: []tls.Certificate{own}, RootCAs: pool, MinVersion: tls.VersionTLS13,
	})
	return inbound, outbound, nil
}
