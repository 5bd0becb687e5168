//! A connection with a small receive buffer, as the links of the pages have small windows.

use std::io::{Error, Result};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(family: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const Address, length: u32) -> i32;
}

/// Connects with a receive buffer of `size` bytes, which has to be set before.
pub fn connect_narrow(address: SocketAddr, size: i32) -> Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(Error::other("no IPv4 address"));
    };
    let target = target(address);
    // The calls of the C library that the standard library has no function for.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, 4) != 0 || connect(fd, &target, 16) != 0 {
            return Err(Error::last_os_error());
        }
        Ok(stream)
    }
}

fn target(address: SocketAddrV4) -> Address {
    Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        ip: address.ip().octets(),
        zero: [0; 8],
    }
}
