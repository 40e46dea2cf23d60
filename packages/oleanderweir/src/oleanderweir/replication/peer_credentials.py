"""The certificates with which instances authenticate each other."""

from __future__ import annotations

import ssl

import attrs

from oleanderweir.replication.exceptions import InvalidPeerCredentialsError


ALPN_PROTOCOLS = ["h2"]


@attrs.frozen(kw_only=True)
class PeerCredentials:
    """
    Paths of PEM files: an instance's certificate, its key, and the authority.

    The authority signs certificates only for the instances of one installation, so a
    valid certificate identifies a peer. Host names are not verified, because instances
    connect by IP address.
    """

    certificate_path: str
    key_path: str
    authority_path: str

    def server_context(self) -> ssl.SSLContext:
        """Return the TLS context of the side that accepts sessions."""
        return self._context(ssl.PROTOCOL_TLS_SERVER)

    def client_context(self) -> ssl.SSLContext:
        """Return the TLS context of the side that dials."""
        return self._context(ssl.PROTOCOL_TLS_CLIENT)

    def _context(self, protocol: int) -> ssl.SSLContext:
        """
        Return a TLS context with the loaded files.

        Raise ``InvalidPeerCredentialsError`` if a file cannot be loaded.
        """
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(ALPN_PROTOCOLS)
        try:
            context.load_cert_chain(self.certificate_path, self.key_path)
            context.load_verify_locations(self.authority_path)
        except OSError as error:
            raise InvalidPeerCredentialsError(
                f"cannot load the certificate, key or authority ({error}); set the "
                "paths of three PEM files: a certificate signed by the authority, its "
                "key, and the authority"
            ) from error
        return context
