package entry

import (
	"crypto/tls"
	"net"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

// listenAdmin opens the admin listener, with mutual TLS if the settings enable it.
func (h *Host) listenAdmin() (net.Listener, error) {
	l, err := h.listen(h.Settings.Admin, "operators")
	if err != nil || h.tlsSource == nil || !h.Settings.TLS.Admin {
		return l, err
	}
	return tls.NewListener(l, h.tlsSource.AdminServerConfig()), nil
}

// listenPeers opens the listener for peers, with mutual TLS if the settings enable it.
func (h *Host) listenPeers() (net.Listener, error) {
	l, err := h.listen(h.Settings.Peer, "peers")
	if err != nil || h.tlsSource == nil {
		return l, err
	}
	return tls.NewListener(l, h.tlsSource.PeerServerConfig()), nil
}

// listen opens one of the host's listeners. The error names who connects to it.
func (h *Host) listen(addr, clients string) (net.Listener, error) {
	open := h.listenFunc
	if open == nil {
		open = net.Listen
	}
	l, err := open("tcp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSettings, err, "listen for "+clients)
	}
	return l, nil
}
