//! Loopback addresses that no other fleet on this machine uses.

use std::{
    io,
    net::{Ipv4Addr, TcpListener},
    ops::RangeInclusive,
};

/// Second parts of the addresses that are tried.
const SECOND_OCTETS: RangeInclusive<u8> = 100..=250;
/// Port by which a network is held.
const GUARD_PORT: u16 = 7999;

/// A range of loopback addresses, held until it is dropped.
#[derive(Debug)]
pub struct Network {
    second_octet: u8,
    _guard: TcpListener,
}

impl Network {
    /// Reserves a range that no other process has reserved.
    ///
    /// # Errors
    ///
    /// Returns the error of the last range tried when all are in use.
    pub fn reserve() -> io::Result<Self> {
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for second_octet in SECOND_OCTETS {
            let address = Ipv4Addr::new(127, second_octet, 255, 254);
            match TcpListener::bind((address, GUARD_PORT)) {
                Ok(guard) => {
                    return Ok(Self {
                        second_octet,
                        _guard: guard,
                    });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Returns the second part of the addresses.
    #[must_use]
    pub fn second_octet(&self) -> u8 {
        self.second_octet
    }
}
