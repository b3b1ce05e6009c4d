/** HTTP helpers of the stand-ins. */
import {createServer, request, Agent} from 'node:http';

/** Starts a server on HOST:PORT; the handler gets the parsed JSON body. */
export async function serve(host, port, handle) {
  const sockets = new Set();
  const server = createServer((incoming, response) => {
    const chunks = [];
    incoming.on('error', () => {});
    response.on('error', () => {});
    incoming.on('data', chunk => chunks.push(chunk));
    incoming.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8');
      const url = new URL(incoming.url, 'http://127.0.0.1');
      const call = {method: incoming.method, url, text, incoming, response};
      Promise.resolve(handle(call)).catch(error => {
        if (!response.headersSent) reply(response, 500, {Error: String(error)});
      });
    });
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', socket => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    port: server.address().port,
    /** Ends the server and resets its connections, like a crash. */
    crash() {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}

export function reply(response, status, body) {
  if (response.destroyed || response.writableEnded) return;
  const text = body === undefined ? '' : JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

const agent = new Agent({keepAlive: true, maxSockets: 64});

/** Sends a call; resolves to {status, body}, status 0 without a response. */
export function send({host, port, method, path, headers = {}, body, timeoutMillis = 3_000}) {
  return new Promise(resolve => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent,
        timeout: timeoutMillis,
        headers: {
          ...headers,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => resolve({status: 0}));
        response.on('end', () => {
          const received = Buffer.concat(chunks).toString('utf8');
          let parsed;
          try {
            parsed = received === '' ? undefined : JSON.parse(received);
          } catch {
            parsed = received;
          }
          resolve({status: response.statusCode, body: parsed});
        });
      },
    );
    outgoing.on('timeout', () => outgoing.destroy(new Error('timeout')));
    outgoing.on('error', () => resolve({status: 0}));
    outgoing.end(text);
  });
}

export const sleep = millis => new Promise(resolve => setTimeout(resolve, millis));
