"""Responses to requests with an invalid transaction signature (TSIG, RFC 8945, section 5.2)."""

from __future__ import annotations

import time
from typing import Any

import dns.exception
import dns.message
import dns.name
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import dns.tsig

from kelpcourse.zones.message_screening import KeyRing, find_signature, without_records

RCODE_BY_ERROR: tuple[tuple[type[Exception], dns.rcode.Rcode], ...] = (
    (dns.tsig.BadTime, dns.rcode.BADTIME),
    (dns.tsig.BadSignature, dns.rcode.BADSIG),
    (dns.message.UnknownTSIGKey, dns.rcode.BADKEY),
    (dns.tsig.BadKey, dns.rcode.BADKEY),
    (dns.tsig.BadAlgorithm, dns.rcode.BADKEY),
)
SIGNATURE_ERRORS = tuple(error_type for error_type, _ in RCODE_BY_ERROR)


def signature_rcode(error: Exception) -> dns.rcode.Rcode:
    """Returns the TSIG error code of one of `SIGNATURE_ERRORS`."""
    return next(rcode for error_type, rcode in RCODE_BY_ERROR if isinstance(error, error_type))


def signature_error_response(wire: bytes, rcode: dns.rcode.Rcode, keys: KeyRing) -> bytes | None:
    """Returns a NOTAUTH response with the TSIG error code, in wire format.

    Returns None if the request cannot be parsed or has no signature. Only a BADTIME response is signed, because only in
    this case the client has proved that it knows the secret.
    """
    try:
        signature = find_signature(wire)
        if signature is None:
            return None
        query = dns.message.from_wire(without_records(wire, signature), keyring=False)
    except (dns.exception.DNSException, ValueError):
        return None
    if query.keyname is None or query.tsig is None:
        return None
    response = dns.message.make_response(query)
    response.set_rcode(dns.rcode.NOTAUTH)
    request_tsig: Any = query.tsig[0]
    if rcode == dns.rcode.BADTIME:
        server_time = round(time.time()).to_bytes(6, "big")
        response.use_tsig(
            keys,
            query.keyname,
            request_tsig.fudge,
            None,
            rcode,
            server_time,
            request_tsig.algorithm,
        )
        response.request_mac = request_tsig.mac
    else:
        unsigned = request_tsig.replace(mac=b"", error=rcode, other=b"", original_id=query.id)
        response.additional.append(_tsig_record_set(query.keyname, unsigned))
    return response.to_wire()


def _tsig_record_set(name: dns.name.Name, rdata: dns.rdata.Rdata) -> dns.rrset.RRset:
    record_set = dns.rrset.RRset(name, dns.rdataclass.ANY, dns.rdatatype.TSIG)
    record_set.update_ttl(0)
    record_set.items[rdata] = None
    return record_set
