/** Importing only the pool takes far less memory than the whole package. */
declare module 'undici/lib/dispatcher/pool.js' {
  export {Pool as default} from 'undici';
}
