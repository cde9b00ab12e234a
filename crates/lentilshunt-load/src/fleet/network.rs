//! Reserves loopback addresses that no other fleet on the machine uses.

use std::{
    io,
    net::{Ipv4Addr, TcpListener},
    ops::RangeInclusive,
};

/// Second octets that are tried.
const SECOND_OCTETS: RangeInclusive<u8> = 100..=250;
/// Port whose listener marks a range as reserved.
const GUARD_PORT: u16 = 7999;

/// Range of loopback addresses that stays reserved until it is dropped.
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
    /// Returns the error of the last attempt when no range can be reserved.
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

    /// Returns the second octet of the addresses.
    #[must_use]
    pub fn second_octet(&self) -> u8 {
        self.second_octet
    }
}
