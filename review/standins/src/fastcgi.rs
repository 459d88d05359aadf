//! A stand-in for a web server that is a FastCGI 1.0 client and keeps several requests at once on a connection.
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

const BEGIN: u8 = 1;
const END: u8 = 3;
const PARAMS: u8 = 4;
const STDIN: u8 = 5;
const STDOUT: u8 = 6;

fn record(out: &mut Vec<u8>, kind: u8, id: u16, content: &[u8]) {
    out.extend([1, kind]);
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
}

fn length(out: &mut Vec<u8>, length: usize) {
    if length < 128 {
        out.push(length as u8);
    } else {
        out.extend((length as u32 | 1 << 31).to_be_bytes());
    }
}

/// A whole request.
pub fn request(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut pairs = Vec::new();
    for (name, value) in params {
        length(&mut pairs, name.len());
        length(&mut pairs, value.len());
        pairs.extend(name.as_bytes());
        pairs.extend(value.as_bytes());
    }
    let mut out = Vec::new();
    // A responder, on a connection that is kept.
    record(&mut out, BEGIN, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    record(&mut out, PARAMS, id, &pairs);
    record(&mut out, PARAMS, id, &[]);
    for part in body.chunks(16 << 10) {
        record(&mut out, STDIN, id, part);
    }
    record(&mut out, STDIN, id, &[]);
    out
}

/// End of a request: the status and the body, or how the connection ended before.
pub type End = Result<(u16, String), String>;

type Open = Arc<Mutex<HashMap<u16, (Vec<u8>, Sender<End>)>>>;

/// A connection to a balancer.
pub struct Connection {
    stream: TcpStream,
    open: Open,
    closed: Arc<Mutex<bool>>,
}

impl Connection {
    pub fn open(addr: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        let connection = Connection { stream, open: Open::default(), closed: Arc::default() };
        let (mut reader, open, closed) =
            (connection.stream.try_clone()?, connection.open.clone(), connection.closed.clone());
        thread::spawn(move || {
            let reason = loop {
                if let Err(error) = read_record(&mut reader, &open) {
                    break error.to_string();
                }
            };
            *closed.lock().expect("lock") = true;
            for (_, (_, end)) in open.lock().expect("lock").drain() {
                let _ = end.send(Err(reason.clone()));
            }
        });
        Ok(connection)
    }

    pub fn is_closed(&self) -> bool {
        *self.closed.lock().expect("lock")
    }

    /// Sends a request under an id that is free; the end comes over the channel.
    pub fn send(&mut self, params: &[(&str, &str)], body: &[u8]) -> io::Result<Receiver<End>> {
        let (sender, end) = channel();
        let id = {
            let mut open = self.open.lock().expect("lock");
            let id = (1..u16::MAX).find(|id| !open.contains_key(id)).unwrap_or(1);
            open.insert(id, (Vec::new(), sender));
            id
        };
        self.stream.write_all(&request(id, params, body))?;
        Ok(end)
    }
}

fn read_record(reader: &mut TcpStream, open: &Open) -> io::Result<()> {
    let mut head = [0; 8];
    reader.read_exact(&mut head)?;
    let id = u16::from_be_bytes([head[2], head[3]]);
    let mut content = vec![0; usize::from(u16::from_be_bytes([head[4], head[5]]))];
    reader.read_exact(&mut content)?;
    reader.read_exact(&mut vec![0; usize::from(head[6])])?;
    let mut open = open.lock().expect("lock");
    match head[1] {
        STDOUT => {
            if let Some((output, _)) = open.get_mut(&id) {
                output.extend(content);
            }
        }
        END => {
            if let Some((output, end)) = open.remove(&id) {
                let _ = end.send(Ok(answer(&output, content.get(4).copied().unwrap_or(0))));
            }
        }
        _ => {}
    }
    Ok(())
}

/// Status and body of an answer. A refusal by the protocol counts as 503.
fn answer(output: &[u8], protocol_status: u8) -> (u16, String) {
    if protocol_status != 0 {
        return (503, String::new());
    }
    let text = String::from_utf8_lossy(output).replace("\r\n", "\n");
    let (head, body) = text.split_once("\n\n").unwrap_or((&text, ""));
    let status = head.lines().find_map(|line| line.strip_prefix("Status: ")?.get(..3)?.parse().ok());
    (status.unwrap_or(200), body.to_string())
}
